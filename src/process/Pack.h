#pragma once

#include <msgpack.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

/// \file
/// \brief Encodes structs as msgpack arrays, field by field, and decodes them.
///
/// A struct provides a free function `Fields(aStruct, aVisit)` that calls `aVisit` with all its
/// fields. Both directions use it, so that they cannot differ.

namespace pistachiostand::internal {

template<typename T>
concept HasFields = requires(T& aValue)
{
  Fields(aValue, [](auto&...) {});
};

/// \brief Number of the last fields of T that records of earlier versions lack. A type with such
/// fields provides its own overload.
template<typename T>
constexpr std::size_t AddedFieldCount(const T& /*aValue*/) noexcept
{
  return 0;
}

/// \brief True for a type whose records may have more fields, which later versions have appended. A
/// type that skips them provides its own overload.
template<typename T>
constexpr bool SkipsUnknownFields(const T& /*aValue*/) noexcept
{
  return false;
}

class Packer
{
public:
  explicit Packer(msgpack::sbuffer& aBuffer)
    : m_packer(aBuffer)
  {
  }

  template<typename T>
  void Write(const T& aValue)
  {
    if constexpr (std::is_enum_v<T>) {
      m_packer.pack(static_cast<std::underlying_type_t<T>>(aValue));
    } else if constexpr (HasFields<T>) {
      // Fields() takes a mutable value for the reading direction and changes nothing here.
      Fields(const_cast<T&>(aValue), [this](auto&... aFields) { // NOLINT
        m_packer.pack_array(sizeof...(aFields));
        (Write(aFields), ...);
      });
    } else {
      m_packer.pack(aValue);
    }
  }

  template<typename T>
  void Write(const std::optional<T>& aValue)
  {
    m_packer.pack_array(aValue ? 1 : 0);
    if (aValue) {
      Write(*aValue);
    }
  }

  template<typename T>
  void Write(const std::vector<T>& aValues)
  {
    m_packer.pack_array(static_cast<std::uint32_t>(aValues.size()));
    for (const auto& each : aValues) {
      Write(each);
    }
  }

  template<typename K, typename V>
  void Write(const std::map<K, V>& aValues)
  {
    m_packer.pack_map(static_cast<std::uint32_t>(aValues.size()));
    for (const auto& [key, value] : aValues) {
      m_packer.pack(key);
      Write(value);
    }
  }

  void Write(const std::string& aValue)
  {
    m_packer.pack_bin(static_cast<std::uint32_t>(aValue.size()));
    m_packer.pack_bin_body(aValue.data(), static_cast<std::uint32_t>(aValue.size()));
  }

private:
  msgpack::packer<msgpack::sbuffer> m_packer;
};

/// \brief Reads what Packer wrote; throws `msgpack::type_error` on anything else.
class Unpacker
{
public:
  template<typename T>
  static void Read(const msgpack::object& aObject, T& aValue)
  {
    if constexpr (std::is_enum_v<T>) {
      // Found by argument-dependent lookup; see Fields.h.
      const auto value = aObject.as<std::underlying_type_t<T>>();
      if (value >= EnumeratorCount(T{})) {
        throw msgpack::type_error();
      }
      aValue = static_cast<T>(value);
    } else if constexpr (HasFields<T>) {
      Fields(aValue, [&aObject](auto&... aFields) {
        constexpr std::size_t kCount = sizeof...(aFields);
        const auto items = ArrayOf(aObject);
        if ((items.size > kCount && !SkipsUnknownFields(T{})) ||
            items.size + AddedFieldCount(T{}) < kCount) {
          throw msgpack::type_error();
        }
        std::size_t next = 0;
        (ReadIfPresent(items, next++, aFields), ...);
      });
    } else {
      aValue = aObject.as<T>();
    }
  }

  template<typename T>
  static void Read(const msgpack::object& aObject, std::optional<T>& aValue)
  {
    const auto items = ArrayOf(aObject);
    aValue.reset();
    if (items.size != 0) {
      Read(items.ptr[0], aValue.emplace());
    }
  }

  template<typename T>
  static void Read(const msgpack::object& aObject, std::vector<T>& aValues)
  {
    const auto items = ArrayOf(aObject);
    aValues.clear();
    for (std::uint32_t i = 0; i < items.size; ++i) {
      Read(items.ptr[i], aValues.emplace_back());
    }
  }

  template<typename K, typename V>
  static void Read(const msgpack::object& aObject, std::map<K, V>& aValues)
  {
    if (aObject.type != msgpack::type::MAP) {
      throw msgpack::type_error();
    }
    aValues.clear();
    for (std::uint32_t i = 0; i < aObject.via.map.size; ++i) {
      const auto& item = aObject.via.map.ptr[i];
      Read(item.val, aValues[item.key.as<K>()]);
    }
  }

  static void Read(const msgpack::object& aObject, std::string& aValue)
  {
    if (aObject.type != msgpack::type::BIN) {
      throw msgpack::type_error();
    }
    aValue.assign(aObject.via.bin.ptr, aObject.via.bin.size);
  }

  template<typename T>
  static void ReadIfPresent(const msgpack::object_array& aItems, std::size_t aIndex, T& aValue)
  {
    if (aIndex < aItems.size) {
      Read(aItems.ptr[aIndex], aValue);
    }
  }

  [[nodiscard]] static msgpack::object_array ArrayOf(const msgpack::object& aObject)
  {
    if (aObject.type != msgpack::type::ARRAY) {
      throw msgpack::type_error();
    }
    return aObject.via.array;
  }

  [[nodiscard]] static msgpack::object_array ArrayOf(const msgpack::object& aObject,
                                                     std::size_t aSize)
  {
    const auto items = ArrayOf(aObject);
    if (items.size != aSize) {
      throw msgpack::type_error();
    }
    return items;
  }
};

/// Deeper than any stored or sent struct.
inline constexpr std::size_t kMaxUnpackDepth = 32;

/// \brief Unpacks one object that uses all of `aBytes`; throws on anything else.
///
/// An element takes at least one byte, so the size also limits the number of elements. Without this
/// limit msgpack allocates memory for the number that a header declares, 64 GiB for an array header
/// of 5 bytes.
[[nodiscard]] inline msgpack::object_handle UnpackAll(std::string_view aBytes)
{
  const std::size_t size = aBytes.size();
  std::size_t end = 0;
  auto handle =
    msgpack::unpack(aBytes.data(), size, end, nullptr, nullptr,
                    msgpack::unpack_limit(size, size, size, size, size, kMaxUnpackDepth));
  if (end != size) {
    throw msgpack::type_error();
  }
  return handle;
}

/// \brief Encodes any value that Packer supports.
template<typename T>
[[nodiscard]] std::string Pack(const T& aValue)
{
  msgpack::sbuffer buffer;
  Packer{ buffer }.Write(aValue);
  return { buffer.data(), buffer.size() };
}

/// \brief Decodes a value that uses all of `aBytes`, or nothing.
template<typename T>
[[nodiscard]] std::optional<T> Unpack(std::string_view aBytes)
{
  try {
    const auto handle = UnpackAll(aBytes);
    T value{};
    Unpacker::Read(handle.get(), value);
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// \brief Reads the alternative with number `aIndex`; false when there is none.
template<typename Variant, std::size_t Index = 0>
bool ReadAlternative(std::size_t aIndex, const msgpack::object& aObject, Variant& aValue)
{
  if constexpr (Index == std::variant_size_v<Variant>) {
    return false;
  } else if (aIndex == Index) {
    Unpacker::Read(aObject, aValue.template emplace<Index>());
    return true;
  } else {
    return ReadAlternative<Variant, Index + 1>(aIndex, aObject, aValue);
  }
}

/// \brief Encodes a variant as `[number of the alternative, value]`.
template<typename Variant>
[[nodiscard]] std::string PackVariant(const Variant& aValue)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer>{ buffer }.pack_array(2);
  Packer packer{ buffer };
  packer.Write(aValue.index());
  std::visit([&packer](const auto& aAlternative) { packer.Write(aAlternative); }, aValue);
  return { buffer.data(), buffer.size() };
}

template<typename Variant>
[[nodiscard]] std::optional<Variant> UnpackVariant(std::string_view aBytes)
{
  std::optional<Variant> value;
  try {
    const auto handle = UnpackAll(aBytes);
    const auto items = Unpacker::ArrayOf(handle.get(), 2);
    if (!ReadAlternative(items.ptr[0].as<std::size_t>(), items.ptr[1], value.emplace())) {
      value.reset();
    }
  } catch (const std::exception&) {
    value.reset();
  }
  return value;
}

} // namespace pistachiostand::internal
