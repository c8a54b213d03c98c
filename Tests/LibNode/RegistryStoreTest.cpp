// Tests the stored copy of the registry.

#include "NodeFixture.h"

#include <LibNode/RegistryStore.h>

namespace almondwing {

class RegistryStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegistryStoreTest);
    CPPUNIT_TEST(storedTargetsAreLoaded);
    CPPUNIT_TEST(damagedCopyIsIgnored);
    CPPUNIT_TEST(laterHeartbeatOverridesCopy);
    CPPUNIT_TEST_SUITE_END();

    static RegisteredTarget sampleTarget(std::uint64_t sequence, RegisteredState state)
    {
        return RegisteredTarget{.number = TargetNumber{7},
                                .service = "orders",
                                .failureDomain = "dar-a",
                                .endpoint = Endpoint{.address = 0x0a800001, .port = 8080},
                                .state = state,
                                .reportVersion =
                                    ReportVersion{.startUnixMilliseconds = 100, .sequence = sequence},
                                .lastSeenAt = IoRuntime::now()};
    }

    static void load(RegistryStore &store)
    {
        auto const loaded = std::make_shared<std::promise<int>>();
        store.load([loaded] { loaded->set_value(0); });
        valueOf(loaded->get_future());
    }

    void storeOne()
    {
        TargetRegistry registry{RegistrySettings{}};
        RunningRuntime running;
        RegistryStore store(running.runtime, this->folder.path + "/registry", registry,
                            [](Event, std::string const &) {});
        load(store);
        registry.merge(sampleTarget(5, RegisteredState::Draining), IoRuntime::now());
        NodeFixture::waitUntil("the copy is written", [&] {
            store.saveIfDue(IoRuntime::now());
            return std::filesystem::exists(this->folder.path + "/registry/targets");
        });
        running.stop();
    }

    std::vector<RegisteredTarget> loadInto(TargetRegistry &registry)
    {
        RunningRuntime running;
        RegistryStore store(running.runtime, this->folder.path + "/registry", registry,
                            [](Event, std::string const &) {});
        load(store);
        running.stop();
        return registry.all();
    }

    TestFolder folder;

    // Guards against an outage that lasts until the next heartbeats although the targets are stored on disk.
    void storedTargetsAreLoaded()
    {
        this->storeOne();
        TargetRegistry registry{RegistrySettings{}};
        auto const targets = this->loadInto(registry);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, targets.size());
        CPPUNIT_ASSERT(targets[0].state == RegisteredState::Draining);
        CPPUNIT_ASSERT(!registry.isOverdue(targets[0], IoRuntime::now()));
    }

    void damagedCopyIsIgnored()
    {
        this->storeOne();
        std::string const path = this->folder.path + "/registry/targets";
        std::filesystem::resize_file(path, std::filesystem::file_size(path) - 3);
        TargetRegistry registry{RegistrySettings{}};
        CPPUNIT_ASSERT(this->loadInto(registry).empty());
    }

    void laterHeartbeatOverridesCopy()
    {
        this->storeOne();
        TargetRegistry registry{RegistrySettings{}};
        registry.merge(sampleTarget(6, RegisteredState::Ready), IoRuntime::now());
        CPPUNIT_ASSERT(this->loadInto(registry)[0].state == RegisteredState::Ready);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryStoreTest);

} // namespace almondwing
