// Tests of the text format of the metrics.

#include <LibFrontEnd/Metrics.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class MetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(samplesOfSeveralSourcesShareOneHeader);
    CPPUNIT_TEST(labelsAreEscaped);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two headers for one metric, because of which Prometheus rejects the whole text, and
    // against values that are read when the source is added instead of on each scrape.
    void samplesOfSeveralSourcesShareOneHeader()
    {
        double opened = 1;
        Metrics metrics;
        for (char const *const domain : {"dar-a", "dar-b"}) {
            metrics.addSource([domain, &opened] {
                return std::vector{MetricSample{.name = "flows_opened_total",
                                                .help = "Flows opened.",
                                                .kind = MetricKind::Counter,
                                                .labels = {{"domain", domain}},
                                                .value = opened}};
            });
        }
        metrics.addSource([] { return std::vector{MetricSample{.name = "flows", .help = "Open flows."}}; });
        opened = 3;
        CPPUNIT_ASSERT_EQUAL(std::string("# HELP flows Open flows.\n"
                                         "# TYPE flows gauge\n"
                                         "flows 0\n"
                                         "# HELP flows_opened_total Flows opened.\n"
                                         "# TYPE flows_opened_total counter\n"
                                         "flows_opened_total{domain=\"dar-a\"} 3\n"
                                         "flows_opened_total{domain=\"dar-b\"} 3\n"),
                             metrics.text());
    }

    // Guards against a target name that closes its label early and injects further lines.
    void labelsAreEscaped()
    {
        Metrics metrics;
        metrics.addSource([] {
            return std::vector{
                MetricSample{.name = "up", .help = "Up.", .labels = {{"target", "a\"} 9\nb"}}, .value = 1}};
        });
        CPPUNIT_ASSERT(metrics.text().ends_with("\nup{target=\"a\\\"} 9\\nb\"} 1\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace almondwing
