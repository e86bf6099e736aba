// Faults of a soak that come in series and overlap. Each is mended after a while of its own.
//
//   fault_series faults{fleet, seed};
//   while (fleet.record().now_ms() < end) faults.step();
//   faults.mend_all();
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coltsfoot/base/random.h"
#include "tests/soak/soak_fleet.h"

namespace coltsfoot::testing {

class fault_series {
 public:
  fault_series(soak_fleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

  // Mends what is over and begins what is drawn.
  void step();
  void mend_all();

 private:
  struct open_fault {
    std::int64_t until = 0;
    std::string name;
    std::function<void()> mend;
  };

  std::size_t draw(std::size_t bound) { return static_cast<std::size_t>(random_() % bound); }
  // Half of the faults of a node are the owner's.
  std::size_t draw_node() { return chance(2) ? fleet_.owner() : draw(fleet_.node_count()); }
  bool chance(std::size_t one_in) { return draw(one_in) == 0; }
  void begin(std::string name, std::int64_t length_ms, std::function<void()> mend);
  void begin_one();
  void cut_pair(std::size_t worker, std::size_t node, cut_kind kind);
  void heal_pair(std::size_t worker, std::size_t node);
  void cut_store(std::size_t node, cut_kind kind);

  // Faults.
  void cut_node_from_store();
  void cut_node_from_workers();
  void cut_one_pair();
  void part_a_zone();
  void lose_the_store_but_one_worker();
  void pause_node();
  void end_node(int signal);
  void restart_worker();
  void take_store_down();

  soak_fleet& fleet_;
  random_engine random_;
  std::int64_t next_ = 0;
  std::vector<open_fault> open_;
};

}  // namespace coltsfoot::testing
