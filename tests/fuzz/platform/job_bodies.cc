#include "tests/fuzz/platform/job_bodies.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "coltsfoot/base/random.h"

namespace coltsfoot::testing {
namespace {

// Most bodies are small, so that a run covers many; one of this number may be as large as allowed.
constexpr std::uint64_t large_body_share = 64;
constexpr std::size_t most_small_body_bytes = 4'096;

// What stands before and after the repeated part of a body.
struct frame {
  std::string_view begin;
  std::string_view end;
};
constexpr std::array frames{frame{"", ""},
                            frame{"[", "]"},
                            frame{"{", "}"},
                            frame{R"({"unknown":[)", R"(],"steps":[{}]})"},
                            frame{R"({"unknown":{)", R"(},"steps":[{}]})"},
                            frame{R"({"steps":[)", "]}"},
                            frame{R"({"steps":[{)", "}]}"},
                            frame{R"({"steps":[{"dependencies":[)", "]}]}"},
                            frame{R"({"specification":[)", "]}"},
                            frame{R"({"customer":"c","tasks":[)", "]}"}};

constexpr std::array<std::string_view, 14> elements{
    "0",     "{}",       "[]",           R"("")",       R"({"a":0})", R"({"count":1})",
    "[0]",   R"("a":0)", R"("count":1)", R"("cpu":[])", R"({"":{}})", R"({"size":{}})",
    "1e999", "nul"};

constexpr std::array levels{
    frame{"[", "]"},    frame{"[0,", "]"},          frame{R"({"a":)", "}"},
    frame{"[[],", "]"}, frame{R"({"steps":)", "}"}, frame{R"({"steps":[)", "]}"}};

constexpr std::array<std::string_view, 16> fields{R"("count":3)",
                                                  R"("cpu":500)",
                                                  R"("memMb":256.5)",
                                                  R"("gpu":1)",
                                                  R"("estimatedMs":900)",
                                                  R"("checkpointing":true)",
                                                  R"("gangScheduled":false)",
                                                  R"("tightlyCoupled":true)",
                                                  R"("speculative":null)",
                                                  R"("fillCount":false)",
                                                  R"("requirements":"x")",
                                                  R"("affinity":"r1-3")",
                                                  R"("antiAffinity":2)",
                                                  R"("image":"i\u00e9")",
                                                  R"("targetMs":50)",
                                                  R"("unknown":{"a":[[1],{"a":2,"a":3}]})"};

std::string repeated(std::string_view text, std::string_view separator, std::size_t bytes) {
  std::string out{text};
  while (out.size() < bytes) out.append(separator).append(text);
  return out;
}

std::string nested(const frame& level, std::size_t bytes, bool closed) {
  const auto depth = std::max<std::size_t>(1, bytes / (level.begin.size() + level.end.size()));
  auto out = repeated(level.begin, "", depth * level.begin.size());
  out += '0';
  if (closed) out += repeated(level.end, "", depth * level.end.size());
  return out;
}

std::string framed(const frame& around, const std::string& inner) {
  return std::string{around.begin} + inner + std::string{around.end};
}

class body_maker {
 public:
  body_maker(std::uint64_t seed, std::uint64_t number) {
    std::seed_seq seeds{seed, seed >> 32U, number, number >> 32U};
    random_.seed(seeds);
  }

  job_body make() {
    switch (below(8)) {
      case 0:
        return {.kind = "valid", .text = job(), .is_valid = true};
      case 1:
        return {.kind = "truncated", .text = truncated(job())};
      case 2:
        return {.kind = "random", .text = random_bytes(size())};
      case 3:
        return {.kind = "deep",
                .text = framed(any(frames), nested(any(levels), size(), one_in(2)))};
      case 4:
        return {.kind = "wide", .text = framed(any(frames), repeated(any(elements), ",", size()))};
      case 5:
        return {.kind = "long string", .text = long_string()};
      default:
        return {.kind = "mutated", .text = mutated(one_in(8) ? make().text : job())};
    }
  }

 private:
  std::size_t below(std::size_t limit) { return random_() % limit; }
  bool one_in(std::size_t share) { return below(share) == 0; }
  template <typename T, std::size_t Size>
  const T& any(const std::array<T, Size>& list) {
    return list.at(below(list.size()));
  }
  std::size_t size() {
    return 1 + below(one_in(large_body_share) ? most_body_bytes : most_small_body_bytes);
  }

  // Distinct names in a drawn order.
  std::string step(std::size_t number) {
    std::string out = "{";
    for (const auto& field : fields) {
      if (!one_in(4)) continue;
      if (out.size() > 1) out += one_in(8) ? " ,\n" : ",";
      out += field;
    }
    if (number > 0 && one_in(2)) {
      out += out.size() > 1 ? "," : "";
      out += R"("dependencies":[)" + std::to_string(below(number)) + "]";
    }
    return out + "}";
  }

  std::string job() {
    const auto count = 1 + below(one_in(large_body_share) ? 400 : 8);
    std::string out = one_in(2) ? R"({"unknown":[1,{}],"steps":[)" : R"({"steps":[)";
    for (std::size_t i = 0; i < count; ++i) out += (i == 0 ? "" : ",") + step(i);
    out += "]";
    if (one_in(2)) out += R"(,"specification":")" + std::string(below(4'000), 's') + '"';
    if (one_in(4)) out += R"(,"repetitions":2,"startTimeMs":1765000000000,"intervalMs":1000)";
    return out + "}";
  }

  std::string truncated(std::string text) {
    text.resize(below(text.size()));
    return text;
  }

  std::string random_bytes(std::size_t count) {
    std::string out(count, '\0');
    for (auto& byte : out) byte = static_cast<char>(below(256));
    return out;
  }

  std::string long_string() {
    constexpr std::array<std::string_view, 6> parts{"x",        R"(\n)", R"(\u20ac)",
                                                    "\xc3\xa9", "\xff",  "\x01"};
    auto text = '"' + repeated(any(parts), "", size()) + '"';
    switch (below(4)) {
      case 0:
        return R"({"steps":[{}],"specification":)" + text + "}";
      case 1:
        return R"({"steps":[{"image":)" + text + "}]}";
      case 2:
        return R"({"steps":[{}],)" + text + ":1}";
      default:
        return text;
    }
  }

  // Changes, removes, repeats and inserts bytes at random places.
  std::string mutated(std::string text) {
    for (auto changes = 1 + below(8); changes > 0 && !text.empty(); --changes) {
      const auto at = below(text.size());
      const auto count = 1 + below(16);
      switch (below(5)) {
        case 0:
          text[at] = static_cast<char>(below(256));
          break;
        case 1:
          text.erase(at, count);
          break;
        case 2:
          text.insert(at, text.substr(at, count));
          break;
        case 3:
          text.insert(at, any(elements));
          break;
        default:
          text.insert(at, count, R"([]{}",:0)"[below(8)]);
      }
    }
    return text;
  }

  random_engine random_;
};

}  // namespace

job_body body_of(std::uint64_t seed, std::uint64_t number) {
  return body_maker{seed, number}.make();
}

std::vector<job_body> worst_bodies(std::size_t bytes) {
  std::string numbers;
  for (std::size_t i = 0; numbers.size() < bytes; ++i) numbers += fmt::format(R"("{:x}":0,)", i);
  numbers += R"("end":0)";
  const auto list = [bytes](std::string_view element) { return repeated(element, ",", bytes); };
  const auto in = [](std::string_view begin, const std::string& inner, std::string_view end) {
    return std::string{begin} + inner + std::string{end};
  };
  return {
      {"[[[[ without an end", std::string(bytes, '[')},
      {"an unknown field of levels",
       in(R"({"steps":[{}],"u":)", nested(levels[0], bytes, true), "}")},
      {"an unknown field of objects in objects",
       in(R"({"steps":[{}],"u":)", nested(levels[2], bytes, true), "}")},
      {"[0,0,0", in("[", list("0"), "]")},
      {"an unknown list of empty objects", in(R"({"steps":[{}],"u":[)", list("{}"), "]}")},
      {"an unknown list of empty strings", in(R"({"steps":[{}],"u":[)", list(R"("")"), "]}")},
      {"unknown names, all different", in(R"({"steps":[{}],)", numbers, "}")},
      {"one unknown name", in(R"({"steps":[{}],)", list(R"("a":0)"), "}")},
      {"one known name", in(R"({"steps":[{)", list(R"("count":1)"), "}]}")},
      {"dependencies", in(R"({"steps":[{},{"dependencies":[)", list("0"), "]}]}")},
      {"empty steps", in(R"({"steps":[)", list("{}"), "]}")},
      {"steps with a count", in(R"({"steps":[)", list(R"({"count":1})"), "]}")},
      {"100,000 empty steps", in(R"({"steps":[)", repeated("{}", ",", 299'999), "]}")},
      {"20,000 empty steps", in(R"({"steps":[)", repeated("{}", ",", 59'999), "]}")},
      {"1,000 empty steps", in(R"({"steps":[)", repeated("{}", ",", 2'999), "]}")},
      {"lists of numbers as steps", in(R"({"steps":[)", list("[0]"), "]}")},
      {"a long string", in(R"({"steps":[{}],"specification":")", std::string(bytes, 's'), "\"}")},
      {"a long string that is malformed",
       in(R"({"steps":[{}],"u":")", std::string(bytes, 's') + '\x01', "\"}")},
      {"empty tasks", in(R"({"tasks":[)", list("{}"), "]}")},
      {"ids of tasks", in(R"({"tasks":[)", list(R"("")"), "]}")}};
}

}  // namespace coltsfoot::testing
