#include "tillerhall/table/csv.hpp"
#include "tillerhall/table/column.hpp"

#include <algorithm>
#include <charconv>
#include <set>

namespace tillerhall
{
namespace
{

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
constexpr std::string_view base_prefix = "#tillerhall base=";
constexpr std::size_t max_name_length = 64;

using fields = std::vector<std::string>;

struct line
{
    std::size_t number;
    fields cells;
};

/** Splits CSV text into lines of cells; a quoted cell may span lines. */
class line_splitter
{
public:
    line_splitter(std::string_view text, char delimiter)
        : m_text(text)
        , m_delimiter(delimiter)
    {
    }

    std::vector<line> split()
    {
        std::vector<line> lines;
        while (m_at < m_text.size())
            lines.push_back(next_line());
        return lines;
    }

private:
    line next_line()
    {
        line read{m_number, {}};
        bool more = true;
        while (more)
        {
            read.cells.push_back(next_cell());
            more = m_at < m_text.size() && m_text[m_at] == m_delimiter;
            if (more)
                ++m_at;
        }
        skip_line_end();
        return read;
    }

    std::string next_cell()
    {
        if (m_at < m_text.size() && m_text[m_at] == '"')
            return quoted_cell();
        const auto stop =
            m_text.find_first_of(std::string{m_delimiter, '\r', '\n'}, m_at);
        const auto end = std::min(stop, m_text.size());
        std::string cell(m_text.substr(m_at, end - m_at));
        m_at = end;
        return trimmed(cell);
    }

    std::string quoted_cell()
    {
        std::string cell;
        ++m_at;
        while (m_at < m_text.size())
        {
            const char c = m_text[m_at++];
            if (c == '\n')
                ++m_number;
            if (c != '"')
                cell.push_back(c);
            else if (m_at < m_text.size() && m_text[m_at] == '"')
                cell.push_back(m_text[m_at++]);
            else
                break;
        }
        return cell;
    }

    void skip_line_end()
    {
        // Also skips text after a closing quote, which belongs to no cell.
        const auto end = m_text.find('\n', m_at);
        m_at = end == std::string_view::npos ? m_text.size() : end + 1;
        ++m_number;
    }

    static std::string trimmed(const std::string& cell)
    {
        const auto first = cell.find_first_not_of(" \t");
        if (first == std::string::npos)
            return {};
        const auto last = cell.find_last_not_of(" \t");
        return cell.substr(first, last - first + 1);
    }

    std::string_view m_text;
    char m_delimiter;
    std::size_t m_at = 0;
    std::size_t m_number = 1;
};

/** @return the delimiter of the first line that is not a comment. */
char delimiter_of(std::string_view text)
{
    while (text.starts_with('#'))
    {
        const auto end = text.find('\n');
        text = end == std::string_view::npos ? "" : text.substr(end + 1);
    }
    const auto header = text.substr(0, text.find('\n'));
    for (const char candidate : {',', ';', '\t'})
        if (header.find(candidate) != std::string_view::npos)
            return candidate;
    return ',';
}

bool is_blank(const line& read)
{
    return std::ranges::all_of(read.cells, &std::string::empty);
}

error with_line_number(std::size_t number, const error& problem)
{
    return error(problem.code(),
                 "line " + std::to_string(number) + ": " + problem.detail(),
                 problem.remedy());
}

bool is_name(std::string_view text)
{
    const auto allowed = [](unsigned char c)
    { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= max_name_length &&
           std::ranges::all_of(text, allowed);
}

/** Builds a draft from lines and collects their problems. */
class draft_parser
{
public:
    csv_outcome read(const std::vector<line>& lines)
    {
        for (const auto& each : lines)
            parse_line(each);
        if (m_header.empty())
            add_problem(1,
                        error(error_code::bad_syntax, "there is no header line",
                              "start with: service,place,weight,..."));
        m_outcome.parsed.table = config_table(std::move(m_rows));
        return std::move(m_outcome);
    }

private:
    void parse_line(const line& read)
    {
        if (is_blank(read))
            return;
        if (read.cells[0].starts_with('#'))
            parse_comment(read);
        else if (m_header.empty())
            parse_header(read);
        else
            parse_row(read);
    }

    void parse_comment(const line& read)
    {
        const std::string_view text = read.cells[0];
        if (!text.starts_with(base_prefix))
            return;
        std::uint64_t base = 0;
        const auto* const end = text.data() + text.size();
        const auto parsed =
            std::from_chars(text.data() + base_prefix.size(), end, base);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            add_problem(read.number,
                        error(error_code::bad_syntax,
                              "\"" + std::string(text) + "\" names no version",
                              "keep the first line that `tiller show` wrote"));
        else
            m_outcome.parsed.base = base;
    }

    void parse_header(const line& read)
    {
        m_header = read.cells;
        // Spreadsheets pad every line to the same number of cells.
        while (m_header.size() > 1 && m_header.back().empty())
            m_header.pop_back();
        std::set<std::string> seen;
        for (const auto& name : m_header)
        {
            if (!seen.insert(name).second)
                add_problem(read.number,
                            error(error_code::duplicate,
                                  "column \"" + name + "\" stands twice"));
            if (name == "service" || name == "place")
                continue;
            const auto found = find_column(name);
            if (!found)
                add_problem(read.number, found.reason());
        }
        for (const auto* required : {"service", "place"})
            if (!seen.contains(required))
                add_problem(
                    read.number,
                    error(error_code::bad_syntax,
                          std::string("column \"") + required + "\" is missing",
                          "add it to the header and to every row"));
    }

    void parse_row(const line& read)
    {
        auto cells = read.cells;
        while (cells.size() > m_header.size() && cells.back().empty())
            cells.pop_back();
        if (cells.size() != m_header.size())
            return add_problem(
                read.number,
                error(error_code::bad_syntax,
                      std::to_string(cells.size()) + " cells under " +
                          std::to_string(m_header.size()) + " columns",
                      "give every column one cell"));
        row built;
        for (std::size_t i = 0; i < cells.size(); ++i)
            parse_cell(read.number, built, m_header[i], cells[i]);
        if (!m_keys.insert(built.key).second)
            return add_problem(read.number,
                               error(error_code::duplicate,
                                     "row " + built.key.service + " at " +
                                         built.key.place + " stands twice"));
        m_rows.push_back(std::move(built));
    }

    void parse_cell(std::size_t number,
                    row& built,
                    const std::string& name,
                    const std::string& text)
    {
        if (name == "service" || name == "place")
            return parse_name(
                number, name == "place" ? built.key.place : built.key.service,
                name, text);
        const auto found = find_column(name);
        if (!found || text.empty())
            return; // reported with the header, or the default applies
        const auto set = set_cell(built, **found, text);
        if (!set)
            add_problem(number, error(set.reason().code(),
                                      "row " + built.key.service + " at " +
                                          built.key.place + ", " +
                                          set.reason().detail(),
                                      set.reason().remedy()));
    }

    void parse_name(std::size_t number,
                    std::string& into,
                    const std::string& column_name,
                    const std::string& text)
    {
        into = text;
        if (!is_name(text))
            add_problem(number,
                        error(error_code::bad_syntax,
                              column_name + " \"" + text + "\" is not a name",
                              "use 1 to 64 letters, digits, '-', '_', '.'"));
    }

    void add_problem(std::size_t number, const error& problem)
    {
        m_outcome.problems.push_back(with_line_number(number, problem));
    }

    csv_outcome m_outcome;
    fields m_header;
    std::vector<row> m_rows;
    std::set<row_key> m_keys;
};

std::string header_line()
{
    std::string header = "service,place";
    for (const auto& each : columns())
        header += "," + std::string(each.name);
    return header;
}

} // namespace

csv_outcome read_csv(std::string_view text)
{
    if (text.starts_with(byte_order_mark))
        text.remove_prefix(byte_order_mark.size());
    return draft_parser().read(line_splitter(text, delimiter_of(text)).split());
}

std::string write_csv_row(const row& written)
{
    std::string text = written.key.service + "," + written.key.place;
    for (const auto& each : columns())
        text += "," + cell_text(written, each);
    return text;
}

result<row> read_csv_row(std::string_view text)
{
    const auto outcome = read_csv(header_line() + "\n" + std::string(text));
    if (!outcome.problems.empty())
        return outcome.problems.front();
    if (outcome.parsed.table.rows().size() != 1)
        return error(error_code::bad_syntax, "not one row");
    return outcome.parsed.table.rows().front();
}

std::string write_csv(const config_table& table)
{
    std::string text = header_line() + "\n";
    for (const auto& each : table.rows())
        text += write_csv_row(each) + "\n";
    return text;
}

std::string write_draft(const config_table& table, std::uint64_t base)
{
    return std::string(base_prefix) + std::to_string(base) + "\n" +
           write_csv(table);
}

} // namespace tillerhall
