// Reads the known fields of a JSON body, with bounds on what the body may cost. Unknown fields are
// read and dropped, so that they take no memory.
//
//   static const nlohmann::json shape = {{"id", ""}, {"tasks", {{{"name", ""}}}}};
//   const auto fields = read_known_fields(body, shape, {.max_items = 1'000});
//   if (!fields) refuse(fields.error());
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace coltsfoot::internal {

struct json_bounds {
  std::size_t max_depth = 64;  // levels open at once, unknown fields included
  std::size_t max_items = 0;   // objects and strings in all known lists together
};

// Stands in a shape for a list of numbers. Such lists are kept as 4 bytes for each number, since
// values of the library would take up to 40 for the two bytes of ",0".
inline nlohmann::json number_list() {
  return nlohmann::json::binary({});
}

// Returns the numbers of a field whose shape is `number_list()`, converted to 32 bits as the
// library converts them. Throws `nlohmann::json::exception` if the field had something else.
std::vector<std::uint32_t> numbers_of(const nlohmann::json& list);

// Returns an object with those fields of `body` that `shape` has. `shape` is an example: an object
// that lists the known names, in which each array holds one example of its elements.
//
// It is an error if the body is malformed or no object, exceeds the bounds, repeats a known name in
// one object, or has an array or object where the shape has something else. Scalars are kept
// whatever their type, except in lists of arrays, objects or numbers. The error has at most 200
// bytes.
tl::expected<nlohmann::json, std::string> read_known_fields(std::string_view body,
                                                            const nlohmann::json& shape,
                                                            const json_bounds& bounds);

}  // namespace coltsfoot::internal
