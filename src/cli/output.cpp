#include <flamingosaddle/cli/output.h>

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <string>
#include <vector>

namespace flamingosaddle
{

namespace
{

constexpr int indentWidth = 2;
constexpr std::size_t columnGap = 2;

using Row = std::vector<std::string>;

std::string dump(const Output &value, int indent)
{
    return value.dump(indent, ' ', false, Output::error_handler_t::replace);
}

std::string cellText(const Output &value)
{
    if (value.is_null()) {
        return "";
    }
    return value.is_string() ? value.get<std::string>() : dump(value, -1);
}

/**
 * The names of all fields, in the order in which they first stand.
 */
Row columnsOf(const Output &objects)
{
    Row columns;
    for (const Output &object : objects) {
        for (const auto &field : object.items()) {
            if (std::find(columns.begin(), columns.end(), field.key()) == columns.end()) {
                columns.push_back(field.key());
            }
        }
    }
    return columns;
}

std::vector<Row> findArray(const Output &objects)
{
    const Row columns = columnsOf(objects);
    std::vector<Row> rows{columns};
    for (const Output &object : objects) {
        Row row;
        for (const std::string &column : columns) {
            const auto field = object.find(column);
            row.push_back(field == object.end() ? std::string() : cellText(*field));
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

std::vector<std::size_t> widthsOf(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const Row &row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    return widths;
}

bool isTable(const Output &value)
{
    return value.is_array() && std::all_of(value.begin(), value.end(), [](const Output &element) {
        return element.is_object();
    });
}

void printTable(std::ostream &stream, const Output &objects)
{
    const std::vector<Row> rows = findArray(objects);
    const std::vector<std::size_t> widths = widthsOf(rows);
    for (const Row &row : rows) {
        for (std::size_t i = 0; i + 1 < row.size(); ++i) {
            stream << std::left << std::setw(static_cast<int>(widths[i] + columnGap)) << row[i];
        }
        stream << (row.empty() ? std::string() : row.back()) << '\n';
    }
}

void printFields(std::ostream &stream, const Output &object)
{
    for (const auto &field : object.items()) {
        if (isTable(field.value())) {
            stream << field.key() << ":\n";
            printTable(stream, field.value());
        } else {
            stream << field.key() << ": " << cellText(field.value()) << '\n';
        }
    }
}

} // namespace

void print(std::ostream &stream, OutputFormat format, const Output &result)
{
    if (format == OutputFormat::Json) {
        stream << dump(result, indentWidth) << '\n';
    } else if (isTable(result)) {
        printTable(stream, result);
    } else if (result.is_object()) {
        printFields(stream, result);
    } else {
        stream << cellText(result) << '\n';
    }
}

} // namespace flamingosaddle
