#include "gateway/storecallcounter.h"

namespace Apricot {

StoreCallCounter::StoreCallCounter(MetricRegistry& metrics)
    : m_metrics(metrics)
{
}

void StoreCallCounter::record(std::string_view key, std::string_view reason)
{
    m_metrics
        .counter("apricot_store_calls_total", "Calls to the store, by kind of objects and reason.",
            { { "kind", std::string(key.substr(0, key.find('/'))) }, { "reason", std::string(reason) } })
        .add();
}

}
