/// Operators' exclusions of instances: applied to the membership, and kept in the folder that two
/// processes of one router share, so that they outlast a restart.
#pragma once

#include <optional>
#include <string>

#include "app/server.h"
#include "app/shared_folder.h"

namespace inference_router::app {

/// Whatever cannot be stored now holds in this process and is stored later. Belongs to the thread
/// of the server's loop.
class ExclusionStore {
 public:
  /// folder: null where nothing is shared; then every change counts as stored.
  ExclusionStore(Server& server, SharedFolder* folder) : server_(server), folder_(folder) {}

  /// Whether this process knows what the folder holds.
  bool known() const { return folder_ == nullptr || known_; }
  /// Reads what another process stored, and stores what could not be stored before.
  void synchronize();

  struct ChangeResult {
    fleet::Membership::Result result;
    bool stored;
  };
  ChangeResult change(const std::string& instanceId, bool excluded);

 private:
  void read();
  void merge(const std::string& text);
  bool store();
  void apply(const std::optional<routing::EndpointListUpdate>& update);

  Server& server_;
  SharedFolder* folder_;
  bool known_ = false;
  bool unstored_ = false;  // this process holds what the folder does not
};

}  // namespace inference_router::app
