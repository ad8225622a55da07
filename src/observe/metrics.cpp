#include "tillerhall/observe/metrics.hpp"

namespace tillerhall
{
namespace
{

template <class Map, class Key>
auto& find_or_create(Map& entries, Key key)
{
    using value_type = typename Map::mapped_type::element_type;
    auto& entry = entries[std::move(key)];
    if (!entry)
        entry = std::make_unique<value_type>();
    return *entry;
}

void write_type(std::string& into,
                std::string& last_name,
                const std::string& name,
                const char* type)
{
    if (last_name == name)
        return;
    last_name = name;
    into += "# TYPE " + name + " " + type + "\n";
}

} // namespace

metric& metrics_registry::get(const std::string& name,
                              const std::string& labels)
{
    const std::lock_guard lock(m_mutex);
    return find_or_create(m_metrics, metric_key{name, labels});
}

latency_histogram& metrics_registry::histogram(const std::string& name,
                                               const std::string& labels)
{
    const std::lock_guard lock(m_mutex);
    return find_or_create(m_histograms, metric_key{name, labels});
}

std::string metrics_registry::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string into;
    std::string last_name;
    for (const auto& [key, value] : m_metrics)
    {
        const bool is_counter = key.name.ends_with("_total");
        write_type(into, last_name, key.name, is_counter ? "counter" : "gauge");
        const auto braces = key.labels.empty() ? "" : "{" + key.labels + "}";
        into += key.name + braces + " " + std::to_string(value->value()) + "\n";
    }
    for (const auto& [key, value] : m_histograms)
    {
        write_type(into, last_name, key.name, "histogram");
        value->write(into, key.name, key.labels);
    }
    return into;
}

} // namespace tillerhall
