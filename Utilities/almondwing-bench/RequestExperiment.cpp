// Measures goodput, false outcomes, waiting times of urgent requests and retries, compared with the same
// program with request classes and limits switched off.

#include "Experiments.h"
#include "RequestLoad.h"

#include <LibCore/Verify.h>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <functional>
#include <future>
#include <string>
#include <vector>

namespace almondwing {

namespace {

constexpr std::size_t instancesPerDomain = 2;
constexpr std::size_t targetCount = 12;
constexpr std::size_t coldTargetCount =
    3; // Of targetCount; these join at the start of each run of loadScenario().
constexpr std::size_t maxParallelRuns = 4; // Leaves processor time to other users of a shared machine.
// Only after RequestSettings::authoritativeAfter does an instance treat a request that it does not know as
// never recorded.
constexpr Duration preparationTime = 95s;
constexpr Duration rampTimeout = 300s;
constexpr Duration shortRunTime = 40s;
constexpr Duration longRunTime = 300s;
constexpr Duration completionTime = 8s; // Until all requests have ended; longer than the maximum deadline.
constexpr Duration shedInterval = 3s;
constexpr Duration shedTime = 300ms;
constexpr double urgentRate = 25;

constexpr double minGoodputShare = 0.9; // Share of the goodput at capacity.
constexpr double maxRetryShare = 0.1; // Share of the arrived requests.

// Shares of the arrivals, indexed by RequestClass.
constexpr ArrivalRates arrivalMix{0.30, 0.65, 0.05};

std::vector<std::string> domains()
{
    return {"dar-a", "dar-b", "dar-c"};
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// The number of requests per second that keeps all slots of all warm targets busy.
double capacity()
{
    double meanService = 0;
    for (std::size_t index = 0; index < requestClassCount; ++index)
        meanService += arrivalMix[index] * seconds(workClasses[index].serviceTime);
    return static_cast<double>(targetCount * slotsPerTarget) / meanService;
}

ArrivalRates loadOf(double factor)
{
    ArrivalRates rates = arrivalMix;
    for (double &rate : rates)
        rate *= factor * capacity();
    return rates;
}

std::string targetName(std::size_t index)
{
    return fmt::format("target-{}", index);
}

void addTargets(RequestLoad &load, std::size_t first, std::size_t end)
{
    for (std::size_t index = first; index < end; ++index)
        load.addTarget(targetName(index), domains()[index % domains().size()]);
}

// Brings the cluster to the given number of warm targets, with instances that have run long enough to treat
// unknown requests as never recorded.
void prepare(RequestLoad &load, std::size_t warmTargets)
{
    ArrivalRates const warmUp{0, 60, 0};
    load.run(5s, {});
    addTargets(load, 0, warmTargets);
    load.run(preparationTime, warmUp);
    Timestamp const limit = load.instances().time() + rampTimeout;
    while (!load.areAllWarm() && load.instances().time() < limit)
        load.run(1s, warmUp);
    VERIFY(load.areAllWarm());
    load.run(completionTime, {});
}

struct Result
{
    RequestFigures figures;
    std::size_t resends = 0; // Requests that callers sent again.
    Duration window{};
};

// Runs requests at the given rates for the window, then waits until they have ended.
Result measure(RequestLoad &load, Duration window, ArrivalRates const &rates)
{
    Timestamp const begin = load.instances().time();
    load.resetResends();
    load.run(window, rates);
    load.run(completionTime, {});
    for (std::string const &detail : load.requestLedger().wrongAnswerDetails())
        fmt::print(stderr, "{}\n", detail);
    return {.figures = load.requestLedger().figures(begin, begin + window),
            .resends = load.resends(),
            .window = window};
}

struct Scenario
{
    std::string name;
    std::function<Result(RequestLoad &)> run;
};

Scenario loadScenario(double factor)
{
    return {fmt::format("{} times capacity", factor), [factor](RequestLoad &load) {
                prepare(load, targetCount - coldTargetCount);
                addTargets(load, targetCount - coldTargetCount, targetCount);
                return measure(load, shortRunTime, loadOf(factor));
            }};
}

Scenario urgentWaitScenario(std::string const &name, ArrivalRates const &rates)
{
    return {name, [rates](RequestLoad &load) {
                prepare(load, targetCount);
                return measure(load, longRunTime, rates);
            }};
}

Result takeOutAndBringBack(RequestLoad &load)
{
    prepare(load, targetCount);
    load.schedule(longRunTime / 3,
                  [&load] { load.instances().setFailureDomainState("dar-b", FailureDomainState::TakenOut); });
    load.schedule(2 * longRunTime / 3, [&load] {
        load.instances().setFailureDomainState("dar-b", FailureDomainState::InService);
    });
    return measure(load, longRunTime, loadOf(0.5));
}

Result withShedding(RequestLoad &load)
{
    prepare(load, targetCount);
    std::size_t index = 0;
    for (Duration at = shedInterval; at < shortRunTime; at += shedInterval, ++index)
        load.schedule(at, [&load, name = targetName(index % targetCount)] { load.shedFor(name, shedTime); });
    return measure(load, shortRunTime, loadOf(0.5));
}

constexpr std::array<double, 4> factors{0.5, 1, 2, 4};
constexpr std::size_t loadScenarioCount = factors.size();
constexpr std::size_t urgentWaitScenarioCount = 3;

std::vector<Scenario> makeScenarios()
{
    double const bulkCapacity = static_cast<double>(targetCount * slotsPerTarget)
        / seconds(workClasses[static_cast<std::size_t>(RequestClass::Bulk)].serviceTime);
    std::vector<Scenario> scenarios;
    scenarios.reserve(loadScenarioCount + urgentWaitScenarioCount + 1);
    for (double const factor : factors)
        scenarios.push_back(loadScenario(factor));
    scenarios.push_back(urgentWaitScenario("unloaded", {urgentRate, 0, 0}));
    scenarios.push_back(urgentWaitScenario("bulk downloads hold the pool", {urgentRate, 0, bulkCapacity}));
    scenarios.push_back({"a failure domain leaves and returns", takeOutAndBringBack});
    scenarios.push_back({"targets shed now and then", withShedding});
    return scenarios;
}

struct ResultPair
{
    Result applied;
    Result off;
};

// Each run has its own cluster, so the results do not depend on the scheduling of the threads.
std::vector<ResultPair> runAll(std::vector<Scenario> const &scenarios, std::uint64_t seed)
{
    std::vector<ResultPair> results(scenarios.size());
    std::atomic<std::size_t> next = 0;
    auto const work = [&] {
        for (std::size_t job = next++; job < 2 * scenarios.size(); job = next++) {
            Limits const limits = job % 2 == 0 ? Limits::Applied : Limits::Off;
            RequestLoad load(seed, domains(), instancesPerDomain, limits);
            ResultPair &pair = results[job / 2];
            (limits == Limits::Applied ? pair.applied : pair.off) = scenarios[job / 2].run(load);
        }
    };
    std::vector<std::future<void>> workers;
    workers.reserve(maxParallelRuns);
    for (std::size_t count = 0; count < maxParallelRuns; ++count)
        workers.push_back(std::async(std::launch::async, work));
    for (auto &worker : workers)
        worker.get();
    return results;
}

double share(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string percent(double value)
{
    return fmt::format("{:.1f}", 100 * value);
}

std::string yesOrNo(bool isMet)
{
    return isMet ? "yes" : "no";
}

double goodput(Result const &result)
{
    return static_cast<double>(result.figures.answeredInTime) / seconds(result.window);
}

// Slot time of the complete answers within the deadline, as a share of the slot time of all warm targets.
double usefulShare(Result const &result)
{
    double work = 0;
    for (auto const &[requestClass, count] : result.figures.answeredByClass)
        work += static_cast<double>(count)
            * seconds(workClasses[static_cast<std::size_t>(requestClass)].serviceTime);
    return work / (seconds(result.window) * static_cast<double>(targetCount * slotsPerTarget));
}

// The percentile by nearest rank, in milliseconds. Requires values in ascending order.
double percentile(std::vector<Duration> const &values, double part)
{
    if (values.empty())
        return 0;
    auto const rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
    return 1'000 * seconds(values[std::max<std::size_t>(rank, 1) - 1]);
}

using Row = std::vector<std::string>;

std::string reasonsText(RequestFigures const &figures)
{
    std::string text;
    for (auto const &[reason, count] : figures.reasons)
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", reasonName(reason), count);
    return text;
}

Row goodputRow(std::string const &name, std::string const &limits, Result const &result)
{
    RequestFigures const &figures = result.figures;
    auto const inTime = [&](RequestClass requestClass) {
        auto const answered = figures.answeredByClass.find(requestClass);
        auto const arrived = figures.arrivedByClass.find(requestClass);
        return percent(share(answered == figures.answeredByClass.end() ? 0 : answered->second,
                             arrived == figures.arrivedByClass.end() ? 0 : arrived->second));
    };
    return {name,
            limits,
            fmt::format("{:.1f}", static_cast<double>(figures.arrived) / seconds(result.window)),
            fmt::format("{:.1f}", goodput(result)),
            percent(usefulShare(result)),
            fmt::format("{}, {}, {}", inTime(RequestClass::Urgent), inTime(RequestClass::Interactive),
                        inTime(RequestClass::Bulk)),
            percent(share(figures.notRun, figures.arrived)),
            percent(share(figures.unknown, figures.arrived)),
            fmt::format("{}", figures.withoutOutcome),
            reasonsText(figures)};
}

Row falseOutcomeRow(std::string const &name, std::string const &limits, Result const &result)
{
    FalseOutcomes const &wrong = result.figures.falseOutcomes;
    return {name,
            limits,
            fmt::format("{}", result.figures.arrived),
            fmt::format("{}", wrong.notRunButRan),
            fmt::format("{}", wrong.wrongAnswer),
            fmt::format("{}", wrong.ranTwice),
            fmt::format("{}", wrong.answeredLate),
            fmt::format("{:.3f}", 100 * share(wrong.total(), result.figures.arrived)),
            yesOrNo(wrong.total() == 0)};
}

Row urgentWaitRow(std::string const &name, std::string const &limits, Result const &result)
{
    auto const &waitTimes = result.figures.urgentWaitTimes;
    auto const at = [&](double part) { return fmt::format("{:.1f}", percentile(waitTimes, part)); };
    return {name,
            limits,
            fmt::format("{}", waitTimes.size() + result.figures.urgentNotStarted),
            at(0.5),
            at(0.99),
            at(0.999),
            at(1),
            fmt::format("{}", result.figures.urgentNotStarted)};
}

Row retryRow(std::string const &name, std::string const &limits, Result const &result)
{
    RequestFigures const &figures = result.figures;
    double const part = share(figures.retries(), figures.arrived);
    return {name,
            limits,
            fmt::format("{}", figures.arrived),
            fmt::format("{}", figures.retries()),
            fmt::format("{:.2f}", 100 * part),
            yesOrNo(part <= maxRetryShare),
            fmt::format("{}", result.resends)};
}

// Returns a table with two rows per scenario: with the limits on and off.
ReportTable tableOf(std::string const &title, Row const &columns, std::vector<Scenario> const &scenarios,
                    std::vector<ResultPair> const &results, std::size_t first, std::size_t count,
                    std::function<Row(std::string const &, std::string const &, Result const &)> const &row)
{
    ReportTable table{.title = title, .columns = columns, .rows = {}};
    for (std::size_t index = first; index < first + count; ++index) {
        table.rows.push_back(row(scenarios[index].name, "on", results[index].applied));
        table.rows.push_back(row(scenarios[index].name, "off", results[index].off));
    }
    return table;
}

Row verdictRow(std::string const &requirement,
               std::function<double(std::function<Result(ResultPair const &)>)> const &value,
               std::function<bool(double)> const &isMet, std::string const &unit)
{
    double const applied = value([](ResultPair const &pair) { return pair.applied; });
    double const off = value([](ResultPair const &pair) { return pair.off; });
    return {requirement, fmt::format("{:.1f} {}", applied, unit), yesOrNo(isMet(applied)),
            fmt::format("{:.1f} {}", off, unit), yesOrNo(isMet(off))};
}

ReportTable verdicts(std::vector<ResultPair> const &results)
{
    using Choice = std::function<Result(ResultPair const &)>;
    auto const atLoad = [&](Choice const &choose, double factor) {
        auto const index = std::ranges::find(factors, factor) - factors.begin();
        return choose(results[static_cast<std::size_t>(index)]);
    };
    auto const goodputShare = [&](Choice const &choose) {
        return 100 * goodput(atLoad(choose, 4)) / goodput(atLoad(choose, 1));
    };
    auto const usefulRatio = [&](Choice const &choose) {
        return 100 * usefulShare(atLoad(choose, 4)) / usefulShare(atLoad(choose, 1));
    };
    auto const falseCount = [&](Choice const &choose) {
        std::size_t total = 0;
        for (ResultPair const &pair : results)
            total += choose(pair).figures.falseOutcomes.total();
        return static_cast<double>(total);
    };
    auto const extraWait = [&](Choice const &choose) {
        return percentile(choose(results[loadScenarioCount + 1]).figures.urgentWaitTimes, 0.99)
            - percentile(choose(results[loadScenarioCount]).figures.urgentWaitTimes, 0.99);
    };
    auto const maxRetries = [&](Choice const &choose) {
        double maximum = 0;
        for (ResultPair const &pair : results) {
            auto const figures = choose(pair).figures;
            maximum = std::max(maximum, 100 * share(figures.retries(), figures.arrived));
        }
        return maximum;
    };
    double const maxExtraWaitMs = 1'000 * seconds(workClasses[0].serviceTime);
    auto const isGoodputMet = [](double value) { return value >= 100 * minGoodputShare; };
    ReportTable table{.title = "Stated targets",
                      .columns = {"target", "limits on", "met", "limits off", "met"},
                      .rows = {}};
    table.rows.push_back(verdictRow("goodput at 4 times capacity: at least 90% of that at capacity",
                                    goodputShare, isGoodputMet, "%"));
    table.rows.push_back(verdictRow("the same by slot time of the answers (not a stated target)", usefulRatio,
                                    isGoodputMet, "%"));
    table.rows.push_back(verdictRow(
        "false outcomes, all runs: 0", falseCount, [](double value) { return value == 0; }, "requests"));
    table.rows.push_back(verdictRow(
        "urgent waiting, 99th percentile, under bulk load: at most 20 ms above unloaded", extraWait,
        [&](double value) { return value <= maxExtraWaitMs; }, "ms"));
    table.rows.push_back(verdictRow(
        "retries, highest of all runs: at most 10% of fresh work", maxRetries,
        [](double value) { return value <= 100 * maxRetryShare; }, "%"));
    return table;
}

} // namespace

Report runRequestExperiment(std::uint64_t seed)
{
    auto const scenarios = makeScenarios();
    auto const results = runAll(scenarios, seed);
    return Report{
        .experiment = "requests",
        .seed = seed,
        .tables = {verdicts(results),
                   tableOf("Goodput (whole answers within the deadline) while cold targets join",
                           {"load", "limits", "arrivals a second", "goodput a second",
                            "its slot time, % of capacity", "in time, % of urgent, interactive, bulk",
                            "not run, %", "unknown, %", "without outcome", "reasons of not run and unknown"},
                           scenarios, results, 0, loadScenarioCount, goodputRow),
                   tableOf("False outcomes",
                           {"run", "limits", "fresh requests", "not run, but ran", "wrong answer",
                            "non-idempotent, ran twice", "answered after the deadline", "share, %",
                            "target (0) met"},
                           scenarios, results, 0, scenarios.size(), falseOutcomeRow),
                   tableOf(
                       "Waiting time of urgent requests, from the arrival to the start at the target, ms",
                       {"run", "limits", "urgent requests", "50%", "99%", "99.9%", "longest", "not started"},
                       scenarios, results, loadScenarioCount, urgentWaitScenarioCount, urgentWaitRow),
                   tableOf("Retries (further tries at a target) as a share of fresh work",
                           {"run", "limits", "fresh requests", "retries", "share, %", "target (10%) met",
                            "sent again by callers"},
                           scenarios, results, 0, scenarios.size(), retryRow)},
        .notes = {fmt::format(
            "6 instances in 3 failure domains, {} targets with {} slots. Service times and deadlines: "
            "urgent 20 ms and 500 ms, interactive 60 ms and 1 s, bulk 400 ms and 5 s (30 parts); shares of "
            "the arrivals 30%, 65% and 5%, Poisson. Half of the urgent and interactive requests are "
            "non-idempotent. Capacity: {:.1f} requests a second, with all targets warm. {} of the targets "
            "join at the start of the runs with overload and are cold for 5 s: a second request at the "
            "same time takes 4 times as long. Callers send 2% of the requests again when half of the time "
            "has passed without an outcome. \"Bulk downloads hold the pool\": bulk arrives at the rate "
            "that fills all slots. The failure domain is out for the second of three periods of 100 s, at "
            "0.5 times capacity. With limits off, all requests have one class, queues are unbounded, "
            "nothing is refused or left unstarted for its expected time; the ramp, the retry budget and "
            "the expiry at the deadline stay. Simulated time, link without loss and delay; a step of the "
            "instances every 25 ms.",
            targetCount, slotsPerTarget, capacity(), coldTargetCount)}};
}

} // namespace almondwing
