// Writes the registry entries of all workers in their place, so that some of them are of another
// kind: the first label of an entry names the kind.
//
//   kind_registry registry{fleet, {"r1-8", "r1-9"}};
//   if (!registry.start()) return exit_not_run;
//   registry.lose_rack("r1-9");
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review_fleet.h"

namespace coltsfoot::review {

inline constexpr const char* rare_kind = "b";

class kind_registry {
 public:
  // Workers of `racks` are of the rare kind.
  kind_registry(review_fleet& fleet, std::set<std::string> racks)
      : fleet_(fleet), racks_(std::move(racks)) {}
  ~kind_registry();
  kind_registry(const kind_registry&) = delete;
  kind_registry& operator=(const kind_registry&) = delete;

  // Takes over the entries. The fleet's workers must have been started.
  bool start();
  // The workers of a rack crash and are lost for good. Returns how many there were.
  std::size_t lose_rack(const std::string& rack);

 private:
  struct entry {
    std::string id;
    std::string rack;
    nlohmann::json value;
    std::int64_t lost_at = 0;  // 0: up
    bool removed = false;
  };

  void write_entries();
  void run();

  review_fleet& fleet_;
  std::set<std::string> racks_;
  std::mutex mutex_;
  std::vector<entry> entries_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace coltsfoot::review
