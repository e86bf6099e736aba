#include "coltsfoot/config/yaml_input.h"

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace coltsfoot {
namespace {

struct refused_yaml {
  YAML::Mark at;
  std::string message;
};

// Throws `refused_yaml` before the parser descends deeper or resolves an alias.
class limit_checker : public YAML::EventHandler {
 public:
  explicit limit_checker(int max_depth) : max_depth_(max_depth) {}

  void OnDocumentStart(const YAML::Mark& mark) override {  // NOLINT(readability-identifier-naming)
    if (++documents_ > 1) throw refused_yaml{mark, "more than one document"};
  }
  void OnDocumentEnd() override {}     // NOLINT(readability-identifier-naming)
  void OnNull(const YAML::Mark& mark,  // NOLINT(readability-identifier-naming)
              YAML::anchor_t anchor) override {
    refuse_anchor(mark, anchor);
  }
  void OnAlias(const YAML::Mark& mark,  // NOLINT(readability-identifier-naming)
               YAML::anchor_t /*anchor*/) override {
    throw refused_yaml{mark, "aliases are not allowed"};
  }
  void OnScalar(const YAML::Mark& mark,  // NOLINT(readability-identifier-naming)
                const std::string& /*tag*/, YAML::anchor_t anchor,
                const std::string& /*value*/) override {
    refuse_anchor(mark, anchor);
  }
  void OnSequenceStart(const YAML::Mark& mark,  // NOLINT(readability-identifier-naming)
                       const std::string& /*tag*/, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    descend(mark, anchor);
  }
  void OnSequenceEnd() override { --depth_; }  // NOLINT(readability-identifier-naming)
  void OnMapStart(const YAML::Mark& mark,      // NOLINT(readability-identifier-naming)
                  const std::string& /*tag*/, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    descend(mark, anchor);
  }
  void OnMapEnd() override { --depth_; }  // NOLINT(readability-identifier-naming)

 private:
  static void refuse_anchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != 0) throw refused_yaml{mark, "anchors are not allowed"};
  }
  void descend(const YAML::Mark& mark, YAML::anchor_t anchor) {
    refuse_anchor(mark, anchor);
    if (++depth_ > max_depth_) throw refused_yaml{mark, "nested too deeply"};
  }

  int max_depth_;
  int depth_ = 0;
  int documents_ = 0;
};

void check_limits(const std::string& text, int max_depth) {
  std::istringstream input{text};
  YAML::Parser parser{input};
  limit_checker checker{max_depth};
  while (parser.HandleNextDocument(checker)) {
  }
}

}  // namespace

std::string to_string(const config_error& error) {
  std::string out = error.file;
  if (error.line > 0) out += (out.empty() ? "line " : ":") + std::to_string(error.line);
  for (const std::string& part : {error.key, error.message}) {
    if (part.empty()) continue;
    if (!out.empty()) out += ": ";
    out += part;
  }
  return out;
}

tl::expected<YAML::Node, config_error> read_yaml(std::string_view text, const yaml_limits& limits) {
  if (text.size() > limits.max_bytes) {
    return tl::unexpected(config_error{
        .file = limits.file, .message = fmt::format("is larger than {} bytes", limits.max_bytes)});
  }
  try {
    const std::string copy{text};
    check_limits(copy, limits.max_depth);
    return YAML::Load(copy);
  } catch (const refused_yaml& refused) {
    return tl::unexpected(
        config_error{.file = limits.file, .line = refused.at.line + 1, .message = refused.message});
  } catch (const YAML::Exception& error) {
    return tl::unexpected(
        config_error{.file = limits.file, .line = error.mark.line + 1, .message = error.msg});
  }
}

tl::expected<std::string, config_error> read_file(const std::string& path, std::size_t max_bytes) {
  std::ifstream file{path, std::ios::binary};
  if (!file) return tl::unexpected(config_error{.file = path, .message = "can't be read"});
  std::string text(max_bytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) return tl::unexpected(config_error{.file = path, .message = "can't be read"});
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > max_bytes) {
    return tl::unexpected(
        config_error{.file = path, .message = fmt::format("is larger than {} bytes", max_bytes)});
  }
  return text;
}

std::optional<config_error> check_map(const YAML::Node& node, const std::string& file,
                                      const std::vector<std::string_view>& allowed) {
  if (!node.IsMap()) return error_at(node, file, "", "expected a map");
  std::set<std::string> seen;
  for (const auto& entry : node) {
    if (!entry.first.IsScalar()) return error_at(entry.first, file, "", "a key must be plain text");
    const std::string& key = entry.first.Scalar();
    if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
      return error_at(entry.first, file, key, "unknown key");
    }
    if (!seen.insert(key).second) return error_at(entry.first, file, key, "duplicate key");
  }
  return std::nullopt;
}

config_error error_at(const YAML::Node& node, const std::string& file, std::string_view key,
                      std::string_view message) {
  return {.file = file,
          .line = node.Mark().line + 1,
          .key = std::string{key},
          .message = std::string{message}};
}

}  // namespace coltsfoot
