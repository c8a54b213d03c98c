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
    CPPUNIT_TEST(acknowledgedEndSurvivesLossOfPower);
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

    // Copies what a loss of power at this moment would leave. The file of ends comes first, because it begins
    // again only after a newer copy of the targets is in place.
    static void copyDisk(std::string const &from, std::string const &to)
    {
        std::filesystem::create_directories(to);
        for (char const *name : {"ends", "targets"}) {
            if (std::filesystem::exists(from + "/" + name))
                std::filesystem::copy_file(from + "/" + name, to + "/" + name);
        }
    }

    // Guards against a target that has left, or drains, and is in use again after all control instances have
    // lost power: the stored copy may be older than the acknowledgement of its end.
    void acknowledgedEndSurvivesLossOfPower()
    {
        for (RegisteredState const state : {RegisteredState::Draining, RegisteredState::Gone}) {
            NodeFixture fixture(1);
            std::string const disk = fixture.folders[0]->path + "/registry";
            fixture.callUntilSuccess("/heartbeat", heartbeat(7, 1, RegisteredState::Ready));
            NodeFixture::waitUntil("the copy has the target", [&] {
                std::ifstream file(disk + "/targets");
                std::string const contents{std::istreambuf_iterator<char>(file), {}};
                return contents.find("orders") != std::string::npos;
            });
            if (state == RegisteredState::Gone)
                fixture.callUntilSuccess("/leave", "7");
            else
                fixture.callUntilSuccess("/heartbeat", heartbeat(7, 2, state));
            TestFolder const after;
            copyDisk(disk, after.path + "/registry");
            TargetRegistry registry{RegistrySettings{}};
            RunningRuntime running;
            RegistryStore store(running.runtime, after.path + "/registry", registry,
                                [](Event, std::string const &) {});
            load(store);
            running.stop();
            auto const restored = registry.find(TargetNumber{7});
            CPPUNIT_ASSERT(restored.has_value());
            CPPUNIT_ASSERT(restored->state == state);
        }
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
