/// \file bundle_func.h Parsing, validating, hashing and comparing bundles.
#ifndef FULMARSTEP_BUNDLE_FUNC_H
#define FULMARSTEP_BUNDLE_FUNC_H

#include <optional>
#include <string_view>

#include "bundle_base.h"
#include "diagnostic_type.h"

namespace fulmar {

/// Maximum size of a value in the key-value service, in bytes.
inline constexpr std::size_t MaxKvValueBytes = 1 << 20;

/// Parses a bundle source file into items and validates all of it.
/// \param[out] Errors receives all errors, with line numbers.
/// \return The items; none if there are errors.
BundleItems parseBundleSource(std::string_view Text, Diagnostics &Errors);

/// Builds the parsed bundle from items that were validated when accepted.
/// \throws Error BundleInvalid when an item is invalid or refers to one that
/// does not exist.
BundlePtr buildBundle(const BundleItems &Items, std::uint64_t Version);

/// Makes an item and computes its hash.
BundleItem makeItem(std::string_view Key, std::string Json);

/// \return The root: the hash over all item hashes. Equal roots mean equal
/// content.
Digest rootOf(const BundleItems &Items);

/// \return The text that the operator's signature covers.
std::string sealStatement(const BundleSeal &Seal);

/// Computes the delta from \p From to \p To.
BundleDelta diffBundles(const SignedBundle &From, const SignedBundle &To);

/// Applies \p Delta to \p Base.
/// \return Nothing when the delta was made from another bundle than \p Base, or
/// the hash of the result differs from the root in its seal.
std::optional<SignedBundle> applyDelta(const SignedBundle &Base,
                                       const BundleDelta &Delta);

/// Writes the reference page docs/BUNDLE.md.
std::string bundleMarkdown();

/// Formats a digest as hex.
std::string hexOf(const Digest &D);

} // namespace fulmar

#endif
