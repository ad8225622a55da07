#include "tillerhall/node/settings.hpp"
#include "tillerhall/distribution/strategy.hpp"
#include "tillerhall/observe/log.hpp"
#include "tillerhall/routing/policy.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace tillerhall
{
namespace
{

constexpr std::string_view objectives_section = "objectives";

/** Reads a YAML document into settings and collects all problems. */
class settings_reader
{
public:
    explicit settings_reader(std::string name)
        : m_name(std::move(name))
    {
    }

    settings_outcome read(const std::string& yaml)
    {
        try
        {
            read_document(YAML::Load(yaml));
        }
        catch (const YAML::Exception& failed)
        {
            fail(failed.mark, error_code::bad_syntax, failed.msg,
                 "write valid YAML");
        }
        check_names();
        return std::move(m_outcome);
    }

private:
    /** @return the key, or a text that is no setting's name. */
    static std::string text_of(const YAML::Node& key)
    {
        return key.IsScalar() ? key.Scalar() : "(a key that is not a text)";
    }

    void read_document(const YAML::Node& document)
    {
        if (!document.IsMap())
            return fail(document.Mark(), error_code::bad_syntax,
                        "the settings are not a mapping of sections",
                        "write sections such as node: at the top level");
        for (const auto& section : document)
            read_section(text_of(section.first), section.first.Mark(),
                         section.second);
        for (const auto& each : setting_table())
            if (each.required && !m_seen.contains(each.path))
                fail(document.Mark(), error_code::invalid_argument,
                     std::string(each.path) + " is missing",
                     "add it: " + std::string(each.help));
    }

    void read_section(const std::string& name,
                      const YAML::Mark& mark,
                      const YAML::Node& section)
    {
        if (!section.IsMap())
            return fail(mark, error_code::bad_syntax,
                        "section \"" + name + "\" is not a mapping",
                        "write its keys below it, indented");
        if (name == objectives_section)
            return read_objectives(section);
        for (const auto& each : section)
            read_setting(name + "." + text_of(each.first), each.first.Mark(),
                         each.second);
    }

    /** Reads "SERVICE: {answered_percent: 99.9, within_ms: 50}". */
    void read_objectives(const YAML::Node& section)
    {
        for (const auto& each : section)
        {
            const auto service = text_of(each.first);
            auto& goal = m_outcome.read.objectives[service];
            if (!each.second.IsMap())
            {
                fail(each.first.Mark(), error_code::bad_syntax,
                     "objectives." + service + " is not a mapping",
                     "write {answered_percent: 99.9, within_ms: 50}");
                continue;
            }
            for (const auto& part : each.second)
                read_goal(service, goal, part.first, part.second);
        }
    }

    void read_goal(const std::string& service,
                   objective& goal,
                   const YAML::Node& key,
                   const YAML::Node& value)
    {
        struct goal_entry
        {
            std::string_view name;
            double objective::*field;
            double min_value;
            double max_value;
        };
        constexpr std::array table{
            goal_entry{"answered_percent", &objective::answered_percent, 0,
                       99.9999},
            goal_entry{"within_ms", &objective::within_ms, 0.1, 3'600'000}};
        const auto name = text_of(key);
        const auto found = std::ranges::find(table, name, &goal_entry::name);
        if (found == table.end())
            return fail(key.Mark(), error_code::unknown_name,
                        "unknown key objectives." + service + "." + name,
                        "use answered_percent or within_ms");
        try
        {
            const auto number = value.as<double>();
            if (number >= found->min_value && number <= found->max_value)
            {
                goal.*found->field = number;
                return;
            }
        }
        catch (const YAML::Exception&)
        {
            // reported below, like a number out of range
        }
        fail(key.Mark(), error_code::out_of_range,
             "objectives." + service + "." + name + " does not fit",
             "write a number from " + std::to_string(found->min_value) +
                 " to " + std::to_string(found->max_value));
    }

    void read_setting(const std::string& path,
                      const YAML::Mark& mark,
                      const YAML::Node& value)
    {
        const auto table = setting_table();
        const auto found = std::ranges::find(table, path, &setting::path);
        if (found == table.end())
            return fail(mark, error_code::unknown_name, "unknown key " + path,
                        "use " + nearest_to(path));
        if (!m_seen.insert(found->path).second)
            return fail(mark, error_code::duplicate, path + " stands twice",
                        "keep one of the two");
        std::visit([&](auto field) { assign(*found, field, mark, value); },
                   found->into);
    }

    void assign(const setting& of,
                std::string settings::*field,
                const YAML::Mark& mark,
                const YAML::Node& value)
    {
        if (!value.IsScalar() || value.Scalar().empty())
            return fail(mark, error_code::bad_syntax,
                        std::string(of.path) + " is not a text",
                        "write one text: " + std::string(of.help));
        m_outcome.read.*field = value.Scalar();
    }

    void assign(const setting& of,
                std::int64_t settings::*field,
                const YAML::Mark& mark,
                const YAML::Node& value)
    {
        const auto text = value.IsScalar() ? value.Scalar() : "(not a number)";
        std::int64_t number = 0;
        const auto* const end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, number);
        const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
        if (!is_number || number < of.min_value || number > of.max_value)
            return fail(
                mark,
                is_number ? error_code::out_of_range : error_code::bad_syntax,
                std::string(of.path) + " \"" + text + "\" does not fit",
                "write a whole number from " + std::to_string(of.min_value) +
                    " to " + std::to_string(of.max_value));
        m_outcome.read.*field = number;
    }

    void assign(const setting& of,
                double settings::*field,
                const YAML::Mark& mark,
                const YAML::Node& value)
    {
        double number = 0;
        const bool is_number =
            value.IsScalar() && YAML::convert<double>::decode(value, number);
        if (is_number && number >= static_cast<double>(of.min_value) &&
            number <= static_cast<double>(of.max_value))
        {
            m_outcome.read.*field = number;
            return;
        }
        fail(mark,
             is_number ? error_code::out_of_range : error_code::bad_syntax,
             std::string(of.path) + " does not fit",
             "write a number from " + std::to_string(of.min_value) + " to " +
                 std::to_string(of.max_value));
    }

    void assign(const setting& of,
                address settings::*field,
                const YAML::Mark& mark,
                const YAML::Node& value)
    {
        m_outcome.read.*field = read_address(of, mark, value);
    }

    void assign(const setting& of,
                std::vector<address> settings::*field,
                const YAML::Mark& mark,
                const YAML::Node& value)
    {
        if (!value.IsSequence())
            return fail(mark, error_code::bad_syntax,
                        std::string(of.path) + " is not a list",
                        "write [127.0.0.1:7000, 127.0.0.1:7001]");
        for (const auto& each : value)
            (m_outcome.read.*field)
                .push_back(read_address(of, each.Mark(), each));
    }

    address read_address(const setting& of,
                         const YAML::Mark& mark,
                         const YAML::Node& value)
    {
        const auto parsed =
            address::parse(value.IsScalar() ? value.Scalar() : "");
        if (parsed)
            return *parsed;
        fail(mark, parsed.reason().code(),
             std::string(of.path) + ": " + parsed.reason().detail(),
             parsed.reason().remedy());
        return {};
    }

    /** Checks settings whose values are names from a list. */
    void check_names()
    {
        const auto& read = m_outcome.read;
        if (const auto found = find_strategy(read.strategy); !found)
            m_outcome.problems.push_back(found.reason());
        if (const auto found = find_policy(read.policy); !found)
            m_outcome.problems.push_back(found.reason());
        log_level level{};
        if (!parse_log_level(read.log_level, level))
            m_outcome.problems.emplace_back(
                error_code::unknown_name,
                m_name + ": log.level \"" + read.log_level + "\"",
                "choose one of: debug info warn error");
    }

    /** @return the known keys of the same section, or else all sections. */
    static std::string nearest_to(const std::string& path)
    {
        const auto section = path.substr(0, path.find('.') + 1);
        std::string keys;
        std::set<std::string> sections;
        for (const auto& each : setting_table())
        {
            const std::string known(each.path);
            sections.insert(known.substr(0, known.find('.')));
            if (known.starts_with(section))
                keys += (keys.empty() ? "one of: " : ", ") + known;
        }
        if (!keys.empty())
            return keys;
        for (const auto& name : sections)
            keys += (keys.empty() ? "a section of: " : ", ") + name;
        return keys;
    }

    void fail(const YAML::Mark& mark,
              error_code code,
              const std::string& detail,
              const std::string& remedy)
    {
        const auto line = mark.is_null() ? 1 : mark.line + 1;
        m_outcome.problems.emplace_back(
            code, m_name + " line " + std::to_string(line) + ": " + detail,
            remedy);
    }

    std::string m_name;
    settings_outcome m_outcome;
    std::set<std::string_view> m_seen;
};

} // namespace

settings_outcome parse_settings(const std::string& yaml,
                                const std::string& name)
{
    return settings_reader(name).read(yaml);
}

settings_outcome load_settings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return {{},
                {error(error_code::not_found, "cannot read " + path,
                       "give the path of a readable settings file")}};
    std::ostringstream text;
    text << file.rdbuf();
    return parse_settings(text.str(), path);
}

} // namespace tillerhall
