#include <flamingosaddle/cli/output.h>

#include <gtest/gtest.h>

#include <sstream>

using namespace flamingosaddle;

namespace
{

std::string printed(OutputFormat format, const char *json)
{
    std::ostringstream stream;
    print(stream, format, Output::parse(json));
    return stream.str();
}

} // namespace

TEST(Output, AlignsATableOverAllFields)
{
    EXPECT_EQ(printed(OutputFormat::Table, R"([{"id":"a","n":1},{"id":"long","x":[1,2]}])"),
        "id    n  x\n"
        "a     1  \n"
        "long     [1,2]\n");
}

TEST(Output, PrintsAnObjectFieldByField)
{
    EXPECT_EQ(printed(OutputFormat::Table, R"({"offset":4,"list":[{"id":"a"}]})"), "offset: 4\nlist:\nid\na\n");
    EXPECT_EQ(printed(OutputFormat::Table, "[]"), "\n");
}

TEST(Output, KeepsTheOrderOfFieldsInJson)
{
    EXPECT_EQ(printed(OutputFormat::Json, R"({"z":1,"a":null})"), "{\n  \"z\": 1,\n  \"a\": null\n}\n");
}
