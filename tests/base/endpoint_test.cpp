#include <flamingosaddle/base/endpoint.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;

TEST(Endpoint, ParsesAnIpAddressAndAPort)
{
    const auto endpoint = Endpoint::parse("127.0.0.1:8080");
    ASSERT_TRUE(endpoint.has_value());
    EXPECT_EQ(endpoint.value(), (Endpoint{"127.0.0.1", 8080}));
    EXPECT_EQ(endpoint.value().text(), "127.0.0.1:8080");
}

TEST(Endpoint, ParsesBracketedIpv6)
{
    const auto endpoint = Endpoint::parse("[::1]:9000");
    ASSERT_TRUE(endpoint.has_value());
    EXPECT_EQ(endpoint.value().address, "::1");
    EXPECT_EQ(endpoint.value().text(), "[::1]:9000");
}

TEST(Endpoint, RejectsHostNamesMissingPortsAndPortsOutOfRange)
{
    for (const char *text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", ":80"}) {
        const auto endpoint = Endpoint::parse(text);
        ASSERT_TRUE(endpoint.has_error()) << text;
        EXPECT_EQ(endpoint.error().kind(), ErrorKind::InvalidSetting);
        EXPECT_FALSE(endpoint.error().remedy().empty());
    }
}
