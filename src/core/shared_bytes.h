/// \file shared_bytes.h Bytes that several holders share.
#ifndef FULMARSTEP_CORE_SHARED_BYTES_H
#define FULMARSTEP_CORE_SHARED_BYTES_H

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace fulmar {

/// Bytes that nobody changes. Copies share them: a large body is in memory
/// once, however many calls carry it.
class SharedBytes {
public:
  SharedBytes() = default;
  SharedBytes(std::string Bytes)
      : Data(std::make_shared<const std::string>(std::move(Bytes))) {}
  SharedBytes(const char *Bytes) : SharedBytes(std::string(Bytes)) {}

  /// \return The bytes as a string.
  const std::string &text() const {
    static const std::string Nothing;
    return Data ? *Data : Nothing;
  }
  operator const std::string &() const { return text(); }
  operator std::string_view() const { return text(); }

  const char *data() const { return text().data(); }
  std::size_t size() const { return text().size(); }
  bool empty() const { return text().empty(); }
  /// Drops this holder's share.
  void clear() { Data.reset(); }

private:
  std::shared_ptr<const std::string> Data; ///< Null: no bytes.
};

inline bool operator==(const SharedBytes &A, std::string_view B) {
  return std::string_view(A.text()) == B;
}

} // namespace fulmar

#endif
