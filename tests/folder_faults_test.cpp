// Operators' exclusions and the folder that processes share, while its reads and writes fail for a
// time.
#include <cerrno>
#include <filesystem>
#include <fstream>

#include "app/admin_service.h"
#include "support/faults.h"
#include "support/router_fixture.h"
#include "support/temporary_directory.h"

namespace inference_router {
namespace {

using system_call_faults::Call;
using system_call_faults::Rule;

// One process of a router whose folder lasts longer than the process.
struct Process : RouterFixture {
  explicit Process(const TemporaryDirectory& folder)
      : RouterFixture(kMixed, /*openai=*/false), sharedFolder(folder.path, "n0") {
    server->list(operatorFile.instances);
    hotRestart.start();
    lifecycles.start();
  }
  bool excludes(const std::string& id) { return server->membership.excluded({id}); }
  void look() {
    for (int i = 0; i < 5; ++i)
      pass(50);
  }
  app::SharedFolder sharedFolder;
  app::ExclusionStore exclusions{*server, &sharedFolder};
  app::HotRestart hotRestart{{.server = *server,
                              .listener = *listener,
                              .front = *front,
                              .setup = operatorFile.setup,
                              .limits = app::Limits{100},
                              .listConfirmed = [] { return true; }},
                             &sharedFolder,
                             exclusions};
  app::LifecycleTracker lifecycles{*server, operatorFile.setup};
  app::AdminService adminService{{.server = *server,
                                  .listener = *listener,
                                  .setup = operatorFile.setup,
                                  .hotRestart = hotRestart,
                                  .exclusions = exclusions,
                                  .lifecycles = lifecycles}};
};

std::string storedIn(const TemporaryDirectory& folder) {
  std::ifstream file(folder.path + "/dahliastall-n0.marks");
  return {std::istreambuf_iterator<char>(file), {}};
}

const std::vector<Rule> kWriteFaults{{.call = Call::kWrite, .error = ENOSPC},
                                     {.call = Call::kFsync, .error = EIO},
                                     {.call = Call::kRename, .error = EIO, .path = ".marks"},
                                     {.call = Call::kOpen, .error = ENOSPC, .path = ".marks.new"}};

TEST(ExclusionsUnderFaults, WhatCannotBeStoredIsSaidHoldsHereAndIsStoredLater) {
  for (const Rule& rule : kWriteFaults) {
    SCOPED_TRACE(static_cast<int>(rule.call));
    TemporaryDirectory folder;
    Process process(folder);
    {
      const Faults faults({rule});
      EXPECT_FALSE(process.adminService.exclude("m1").ok);
      EXPECT_FALSE(process.adminService.exclude("m1").ok) << "a repeated call was acknowledged";
      EXPECT_TRUE(process.excludes("m1"));
      process.look();
    }
    process.look();
    EXPECT_NE(storedIn(folder).find("\"m1\""), std::string::npos);
    EXPECT_TRUE(process.adminService.exclude("m1").ok);
    Process next(folder);
    EXPECT_TRUE(next.excludes("m1"));
  }
}

TEST(ExclusionsUnderFaults, WhatIsStoredHoldsThoughItCannotBeReadAtFirst) {
  const std::vector<Rule> readFaults{
      {.call = Call::kRead, .error = EIO},
      {.call = Call::kOpen, .error = EIO, .path = ".marks"},
      {.call = Call::kOpen, .error = EMFILE, .path = "dahliastall-n0"}};
  for (const Rule& rule : readFaults) {
    SCOPED_TRACE(rule.path);
    TemporaryDirectory folder;
    { EXPECT_TRUE(Process(folder).adminService.exclude("m1").ok); }
    std::unique_ptr<Process> next;
    {
      const Faults faults({rule});
      next = std::make_unique<Process>(folder);
      next->look();
      // Written now, it would replace what could not be read.
      EXPECT_FALSE(next->adminService.exclude("m2").ok);
    }
    next->look();
    EXPECT_TRUE(next->excludes("m1"));
    EXPECT_NE(storedIn(folder).find("\"m1\""), std::string::npos);
    EXPECT_NE(storedIn(folder).find("\"m2\""), std::string::npos);
  }
}

TEST(ExclusionsUnderFaults, AProcessIsSeenByTheOthersOnceItsFileCanBeWritten) {
  const std::vector<Rule> rules{{.call = Call::kOpen, .error = ENFILE, .path = "dahliastall-n0"},
                                {.call = Call::kRename, .error = ENOSPC, .path = ".process."},
                                {.call = Call::kWrite, .error = ENOSPC}};
  for (const Rule& rule : rules) {
    SCOPED_TRACE(rule.path);
    TemporaryDirectory folder;
    std::unique_ptr<Process> process;
    {
      const Faults faults({rule});
      process = std::make_unique<Process>(folder);
      process->look();
    }
    process->look();
    std::string said;
    for (const auto& entry : std::filesystem::directory_iterator(folder.path))
      if (entry.path().filename().string().find(".process.") != std::string::npos) {
        std::ifstream file(entry.path());
        std::getline(file, said);
      }
    EXPECT_EQ(said, "serving");
  }
}

}  // namespace
}  // namespace inference_router
