// Measures goodput, false outcomes, waiting times of urgent requests and retries, beside the same program
// with classes and limits switched off.

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
constexpr std::size_t coldTargetCount = 3; // Of these, join at the start of a run with overload.
constexpr std::size_t parallelRuns = 4; // The machine is shared.
// Instances vouch for their memory only after RequestSettings::authoritativeAfter.
constexpr Duration preparation = 95s;
constexpr Duration rampLimit = 300s;
constexpr Duration overloadTime = 40s;
constexpr Duration waitingTime = 300s;
constexpr Duration drainTime = 8s; // Longer than the longest deadline.
constexpr Duration shedInterval = 3s;
constexpr Duration shedTime = 300ms;
constexpr double urgentRate = 25;

constexpr double goodputTarget = 0.9; // Of the goodput at capacity.
constexpr double retryTarget = 0.1; // Of fresh work.

// Shares of the arrivals, by RequestClass.
constexpr ArrivalRates mix{0.30, 0.65, 0.05};

std::vector<std::string> domains()
{
    return {"dar-a", "dar-b", "dar-c"};
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Requests a second that keep all slots of all warm targets busy.
double capacity()
{
    double meanService = 0;
    for (std::size_t index = 0; index < requestClassCount; ++index)
        meanService += mix[index] * seconds(workClasses[index].serviceTime);
    return static_cast<double>(targetCount * slotsOfTarget) / meanService;
}

ArrivalRates loadOf(double factor)
{
    ArrivalRates rates = mix;
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

// The given number of warm targets, at instances that have run for long enough to vouch for their memory.
void prepare(RequestLoad &load, std::size_t warmTargets)
{
    ArrivalRates const warmUp{0, 60, 0};
    load.run(5s, {});
    addTargets(load, 0, warmTargets);
    load.run(preparation, warmUp);
    Timestamp const limit = load.instances().time() + rampLimit;
    while (!load.areAllWarm() && load.instances().time() < limit)
        load.run(1s, warmUp);
    VERIFY(load.areAllWarm());
    load.run(drainTime, {});
}

struct Result
{
    RequestFigures figures;
    std::size_t resends = 0; // By callers.
    Duration window{};
};

// Runs the rates for the window and lets everything end.
Result measure(RequestLoad &load, Duration window, ArrivalRates const &rates)
{
    Timestamp const begin = load.instances().time();
    load.resetResends();
    load.run(window, rates);
    load.run(drainTime, {});
    for (std::string const &complaint : load.requestLedger().complaints())
        fmt::print(stderr, "{}\n", complaint);
    return {.figures = load.requestLedger().figures(begin, begin + window),
            .resends = load.resends(),
            .window = window};
}

struct Scenario
{
    std::string name;
    std::function<Result(RequestLoad &)> run;
};

Scenario overload(double factor)
{
    return {fmt::format("{} times capacity", factor), [factor](RequestLoad &load) {
                prepare(load, targetCount - coldTargetCount);
                addTargets(load, targetCount - coldTargetCount, targetCount);
                return measure(load, overloadTime, loadOf(factor));
            }};
}

Scenario waiting(std::string const &name, ArrivalRates const &rates)
{
    return {name, [rates](RequestLoad &load) {
                prepare(load, targetCount);
                return measure(load, waitingTime, rates);
            }};
}

Result leaveAndReturn(RequestLoad &load)
{
    prepare(load, targetCount);
    load.schedule(waitingTime / 3,
                  [&load] { load.instances().setFailureDomainState("dar-b", FailureDomainState::TakenOut); });
    load.schedule(2 * waitingTime / 3, [&load] {
        load.instances().setFailureDomainState("dar-b", FailureDomainState::InService);
    });
    return measure(load, waitingTime, loadOf(0.5));
}

Result withShedding(RequestLoad &load)
{
    prepare(load, targetCount);
    std::size_t index = 0;
    for (Duration at = shedInterval; at < overloadTime; at += shedInterval, ++index)
        load.schedule(at, [&load, name = targetName(index % targetCount)] { load.shedAt(name, shedTime); });
    return measure(load, overloadTime, loadOf(0.5));
}

constexpr std::array<double, 4> factors{0.5, 1, 2, 4};
constexpr std::size_t overloadCount = factors.size();
constexpr std::size_t waitingCount = 3;

std::vector<Scenario> scenarios()
{
    double const bulkCapacity = static_cast<double>(targetCount * slotsOfTarget)
        / seconds(workClasses[static_cast<std::size_t>(RequestClass::Bulk)].serviceTime);
    std::vector<Scenario> list;
    list.reserve(overloadCount + waitingCount + 1);
    for (double const factor : factors)
        list.push_back(overload(factor));
    list.push_back(waiting("unloaded", {urgentRate, 0, 0}));
    list.push_back(waiting("bulk downloads hold the pool", {urgentRate, 0, bulkCapacity}));
    list.push_back({"a failure domain leaves and returns", leaveAndReturn});
    list.push_back({"targets shed now and then", withShedding});
    return list;
}

struct Pair
{
    Result applied;
    Result off;
};

// Each run has a cluster of its own, so the order in which threads take them does not matter.
std::vector<Pair> runAll(std::vector<Scenario> const &list, std::uint64_t seed)
{
    std::vector<Pair> results(list.size());
    std::atomic<std::size_t> next = 0;
    auto const work = [&] {
        for (std::size_t job = next++; job < 2 * list.size(); job = next++) {
            Limits const limits = job % 2 == 0 ? Limits::Applied : Limits::Off;
            RequestLoad load(seed, domains(), instancesPerDomain, limits);
            Pair &pair = results[job / 2];
            (limits == Limits::Applied ? pair.applied : pair.off) = list[job / 2].run(load);
        }
    };
    std::vector<std::future<void>> workers;
    workers.reserve(parallelRuns);
    for (std::size_t count = 0; count < parallelRuns; ++count)
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

std::string met(bool isMet)
{
    return isMet ? "yes" : "no";
}

double goodput(Result const &result)
{
    return static_cast<double>(result.figures.answeredInTime) / seconds(result.window);
}

// Slot time of the whole answers within the deadline, as a share of the slot time of all warm targets.
double usefulShare(Result const &result)
{
    double work = 0;
    for (auto const &[requestClass, count] : result.figures.answeredOfClass)
        work += static_cast<double>(count)
            * seconds(workClasses[static_cast<std::size_t>(requestClass)].serviceTime);
    return work / (seconds(result.window) * static_cast<double>(targetCount * slotsOfTarget));
}

// Nearest rank; the values are sorted.
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
        auto const answered = figures.answeredOfClass.find(requestClass);
        auto const fresh = figures.freshOfClass.find(requestClass);
        return percent(share(answered == figures.answeredOfClass.end() ? 0 : answered->second,
                             fresh == figures.freshOfClass.end() ? 0 : fresh->second));
    };
    return {name,
            limits,
            fmt::format("{:.1f}", static_cast<double>(figures.fresh) / seconds(result.window)),
            fmt::format("{:.1f}", goodput(result)),
            percent(usefulShare(result)),
            fmt::format("{}, {}, {}", inTime(RequestClass::Urgent), inTime(RequestClass::Interactive),
                        inTime(RequestClass::Bulk)),
            percent(share(figures.refused, figures.fresh)),
            percent(share(figures.unknown, figures.fresh)),
            fmt::format("{}", figures.withoutOutcome),
            reasonsText(figures)};
}

Row falseRow(std::string const &name, std::string const &limits, Result const &result)
{
    FalseOutcomes const &wrong = result.figures.falseOutcomes;
    return {name,
            limits,
            fmt::format("{}", result.figures.fresh),
            fmt::format("{}", wrong.notRunButRan),
            fmt::format("{}", wrong.wrongAnswer),
            fmt::format("{}", wrong.ranTwice),
            fmt::format("{}", wrong.answeredLate),
            fmt::format("{:.3f}", 100 * share(wrong.total(), result.figures.fresh)),
            met(wrong.total() == 0)};
}

Row waitingRow(std::string const &name, std::string const &limits, Result const &result)
{
    auto const &waits = result.figures.urgentWaits;
    auto const at = [&](double part) { return fmt::format("{:.1f}", percentile(waits, part)); };
    return {name,
            limits,
            fmt::format("{}", waits.size() + result.figures.urgentNotStarted),
            at(0.5),
            at(0.99),
            at(0.999),
            at(1),
            fmt::format("{}", result.figures.urgentNotStarted)};
}

Row retryRow(std::string const &name, std::string const &limits, Result const &result)
{
    RequestFigures const &figures = result.figures;
    double const part = share(figures.retries(), figures.fresh);
    return {name,
            limits,
            fmt::format("{}", figures.fresh),
            fmt::format("{}", figures.retries()),
            fmt::format("{:.2f}", 100 * part),
            met(part <= retryTarget),
            fmt::format("{}", result.resends)};
}

// One row for each scenario and each setting of the limits.
ReportTable tableOf(std::string const &title, Row const &columns, std::vector<Scenario> const &list,
                    std::vector<Pair> const &results, std::size_t first, std::size_t count,
                    std::function<Row(std::string const &, std::string const &, Result const &)> const &row)
{
    ReportTable table{.title = title, .columns = columns, .rows = {}};
    for (std::size_t index = first; index < first + count; ++index) {
        table.rows.push_back(row(list[index].name, "on", results[index].applied));
        table.rows.push_back(row(list[index].name, "off", results[index].off));
    }
    return table;
}

Row verdictRow(std::string const &target,
               std::function<double(std::function<Result(Pair const &)>)> const &value,
               std::function<bool(double)> const &isMet, std::string const &unit)
{
    double const applied = value([](Pair const &pair) { return pair.applied; });
    double const off = value([](Pair const &pair) { return pair.off; });
    return {target, fmt::format("{:.1f} {}", applied, unit), met(isMet(applied)),
            fmt::format("{:.1f} {}", off, unit), met(isMet(off))};
}

ReportTable verdicts(std::vector<Pair> const &results)
{
    using Choice = std::function<Result(Pair const &)>;
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
        for (Pair const &pair : results)
            total += choose(pair).figures.falseOutcomes.total();
        return static_cast<double>(total);
    };
    auto const extraWait = [&](Choice const &choose) {
        return percentile(choose(results[overloadCount + 1]).figures.urgentWaits, 0.99)
            - percentile(choose(results[overloadCount]).figures.urgentWaits, 0.99);
    };
    auto const highestRetries = [&](Choice const &choose) {
        double highest = 0;
        for (Pair const &pair : results) {
            auto const figures = choose(pair).figures;
            highest = std::max(highest, 100 * share(figures.retries(), figures.fresh));
        }
        return highest;
    };
    double const urgentService = 1'000 * seconds(workClasses[0].serviceTime);
    auto const isGoodputMet = [](double value) { return value >= 100 * goodputTarget; };
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
        [&](double value) { return value <= urgentService; }, "ms"));
    table.rows.push_back(verdictRow(
        "retries, highest of all runs: at most 10% of fresh work", highestRetries,
        [](double value) { return value <= 100 * retryTarget; }, "%"));
    return table;
}

} // namespace

Report runRequestExperiment(std::uint64_t seed)
{
    auto const list = scenarios();
    auto const results = runAll(list, seed);
    return Report{
        .experiment = "requests",
        .seed = seed,
        .tables = {verdicts(results),
                   tableOf("Goodput (whole answers within the deadline) while cold targets join",
                           {"load", "limits", "arrivals a second", "goodput a second",
                            "its slot time, % of capacity", "in time, % of urgent, interactive, bulk",
                            "not run, %", "unknown, %", "without outcome", "reasons of not run and unknown"},
                           list, results, 0, overloadCount, goodputRow),
                   tableOf("False outcomes",
                           {"run", "limits", "fresh requests", "not run, but ran", "wrong answer",
                            "non-idempotent, ran twice", "answered after the deadline", "share, %",
                            "target (0) met"},
                           list, results, 0, list.size(), falseRow),
                   tableOf(
                       "Waiting time of urgent requests, from the arrival to the start at the target, ms",
                       {"run", "limits", "urgent requests", "50%", "99%", "99.9%", "longest", "not started"},
                       list, results, overloadCount, waitingCount, waitingRow),
                   tableOf("Retries (further tries at a target) as a share of fresh work",
                           {"run", "limits", "fresh requests", "retries", "share, %", "target (10%) met",
                            "sent again by callers"},
                           list, results, 0, list.size(), retryRow)},
        .notes = {fmt::format(
            "6 instances in 3 failure domains, {} targets with {} slots. Service times and deadlines: urgent "
            "20 ms "
            "and 500 ms, interactive 60 ms and 1 s, bulk 400 ms and 5 s (30 parts); shares of the arrivals "
            "30%, "
            "65% and 5%, Poisson. Half of the urgent and interactive requests are non-idempotent. Capacity: "
            "{:.1f} "
            "requests a second, with all targets warm. {} of the targets join at the start of the runs with "
            "overload and are cold for 5 s: a second request at the same time takes 4 times as long. Callers "
            "send "
            "2% of the requests again when half of the time has passed without an outcome. \"Bulk downloads "
            "hold "
            "the pool\": bulk arrives at the rate that fills all slots. The failure domain is out for the "
            "second "
            "of three periods of 100 s, at 0.5 times capacity. With limits off, all requests have one class, "
            "queues "
            "are unbounded, nothing is refused or left unstarted for its expected time; the ramp, the retry "
            "budget and the expiry at the deadline stay. Simulated time, link without loss and delay; a step "
            "of "
            "the instances every 25 ms.",
            targetCount, slotsOfTarget, capacity(), coldTargetCount)}};
}

} // namespace almondwing
