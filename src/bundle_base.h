/// \file bundle_base.h A bundle: items, their seal, and the parsed parts.
#ifndef FULMARSTEP_BUNDLE_BASE_H
#define FULMARSTEP_BUNDLE_BASE_H

#include <algorithm>
#include <array>
#include <map>
#include <memory>

#include "bundle_type.h"
#include "core/time_type.h"

namespace fulmar {

/// A SHA-256 digest.
using Digest = std::array<std::uint8_t, 32>;

/// One item of a bundle: an organisation, a pool, a pipeline and so on. Items
/// are the unit of change, so that one edited organisation travels as one item.
struct BundleItem {
  std::string Json; ///< Canonical JSON.
  Digest Hash = {}; ///< SHA-256 of the key and the JSON.
};

/// Items by `section/name`, sorted.
using BundleItems = std::map<std::string, BundleItem>;

/// Who accepted which content as which version.
struct BundleSeal {
  std::uint64_t Version = 0; ///< Counts up from 1 with each accepted bundle.
  Digest Root = {};          ///< Hash over the hashes of all items.
  std::string Signer;        ///< Name of the operator's key.
  std::string Signature;     ///< Ed25519 over version and root, 64 bytes.
  WallMs CreatedMs = 0;      ///< When it was signed.
  std::string Note;          ///< Why, in the operator's words.

  bool operator==(const BundleSeal &) const = default;
};

/// A bundle as it travels and is kept.
struct SignedBundle {
  BundleSeal Seal;                 ///< Version, content hash, signature.
  BundleItems Items;               ///< Content.
  std::vector<BundleSeal> History; ///< Earlier seals, newest first.
};

/// The difference between two bundles.
struct BundleDelta {
  std::uint64_t FromVersion = 0;              ///< 0: the whole bundle.
  Digest FromRoot = {};                       ///< Content it applies to.
  BundleSeal Seal;                            ///< Of the result.
  std::map<std::string, std::string> Changed; ///< Key to JSON.
  std::vector<std::string> Removed;           ///< Keys.
};

/// A parsed bundle; never changed once made, shared by the requests that began
/// under it.
struct Bundle {
  std::uint64_t Version = 0;                     ///< From the seal.
  std::vector<OrganisationSpec> Organisations;   ///< Sorted by name.
  std::vector<ModelSpec> Models;                 ///< Sorted by name.
  std::vector<AdapterSpec> Adapters;             ///< Sorted by name.
  std::vector<DrainedDomainSpec> DrainedDomains; ///< Sorted by name.
  std::vector<PoolSpec> Pools;                   ///< Sorted by name.
  std::vector<PipelineSpec> Pipelines;           ///< Sorted by name.
  ShareSpec Shares;                              ///< How capacity is shared.

  /// \return The part called \p Name in a sorted \p List, or nullptr.
  template <typename Spec>
  static const Spec *find(const std::vector<Spec> &List,
                          std::string_view Name) {
    auto It = std::lower_bound(
        List.begin(), List.end(), Name,
        [](const Spec &S, std::string_view N) { return S.Name < N; });
    return It != List.end() && It->Name == Name ? &*It : nullptr;
  }
};

using BundlePtr = std::shared_ptr<const Bundle>; ///< Shared, read only.

} // namespace fulmar

#endif
