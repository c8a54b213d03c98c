// Implements the health checks.

#include "HealthPoller.h"

#include <LibFrontEnd/HttpClient.h>

#include <nlohmann/json.hpp>

namespace almondwing {

namespace {

constexpr Duration pollInterval = 100ms;

// Limit of each of the two calls of a check; checks of a target are 1 s apart. A later response is ignored.
constexpr Duration checkTimeout = 900ms;

HealthReport parseLoadReport(std::string const &body)
{
    HealthReport report{.answer = HealthAnswer::Healthy};
    auto const json = nlohmann::json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("load") && json.at("load").is_number()) {
        report.hasLoad = true;
        report.load = json.at("load").get<double>();
    }
    return report;
}

} // namespace

HealthPoller::HealthPoller(IoRuntime &ioRuntime, Instance &polledInstance)
    : runtime(ioRuntime), instance(polledInstance)
{
}

void HealthPoller::start()
{
    this->runtime.runEvery(pollInterval, [this] {
        for (HealthCheck const &check : this->instance.takeDueHealthChecks(IoRuntime::now()))
            this->check(check);
    });
}

void HealthPoller::check(HealthCheck const &check)
{
    HttpCall const call{.server = check.httpEndpoint, .target = "/health", .timeout = checkTimeout};
    callHttp(this->runtime, call, [this, check](absl::StatusOr<HttpResponse> const &response) {
        if (response.ok() && response->isSuccess()) {
            this->checkLoad(check);
            return;
        }
        HealthAnswer const answer = response.ok() ? HealthAnswer::Unhealthy : HealthAnswer::NoAnswer;
        this->instance.handleHealthReport(check.target, HealthReport{.answer = answer}, IoRuntime::now());
    });
}

void HealthPoller::checkLoad(HealthCheck const &check)
{
    HttpCall const call{.server = check.httpEndpoint, .target = "/load", .timeout = checkTimeout};
    callHttp(this->runtime, call, [this, check](absl::StatusOr<HttpResponse> const &response) {
        bool const hasAnswer = response.ok() && response->isSuccess();
        HealthReport const report =
            hasAnswer ? parseLoadReport(response->body) : HealthReport{.answer = HealthAnswer::Healthy};
        this->instance.handleHealthReport(check.target, report, IoRuntime::now());
    });
}

} // namespace almondwing
