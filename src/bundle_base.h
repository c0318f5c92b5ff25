/// \file bundle_base.h Bundles: items, seal (signed version record), delta and
/// parsed form.
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

/// One item of a bundle: an organisation, a pool, a pipeline and so on. Deltas
/// consist of whole items, so an edit to one organisation is sent as one item.
struct BundleItem {
  std::string Json; ///< Canonical JSON.
  Digest Hash = {}; ///< SHA-256 of key, a NUL byte and JSON.
};

/// Items by key, `section/name`, in key order.
using BundleItems = std::map<std::string, BundleItem>;

/// The signed record of a bundle version: content hash, signer and signature.
struct BundleSeal {
  std::uint64_t Version = 0; ///< From 1, plus 1 for each accepted bundle.
  Digest Root = {};          ///< SHA-256 over the hashes of all items.
  std::string Signer;        ///< Name of the operator's signing key.
  std::string Signature;     ///< Ed25519 over sealStatement(), 64 bytes.
  WallMs CreatedMs = 0;      ///< Time of signing, ms since 1970.
  std::string Note;          ///< The operator's reason for the change.

  bool operator==(const BundleSeal &) const = default;
};

/// A bundle in the form that is sent between nodes and stored.
struct SignedBundle {
  BundleSeal Seal;                 ///< Version, content hash, signature.
  BundleItems Items;               ///< Content.
  std::vector<BundleSeal> History; ///< Earlier seals, newest first.
};

/// The difference between two bundles.
struct BundleDelta {
  std::uint64_t FromVersion = 0; ///< 0: the whole bundle.
  Digest FromRoot = {};          ///< Root of the bundle that it applies to.
  BundleSeal Seal;               ///< Seal of the result.
  std::map<std::string, std::string>
      Changed;                      ///< New and changed items: JSON by key.
  std::vector<std::string> Removed; ///< Keys of removed items.
};

/// A parsed bundle. It is immutable and shared by all requests that started
/// while it was in force.
struct Bundle {
  std::uint64_t Version = 0;                     ///< From the seal.
  std::vector<OrganisationSpec> Organisations;   ///< Sorted by name.
  std::vector<ModelSpec> Models;                 ///< Sorted by name.
  std::vector<AdapterSpec> Adapters;             ///< Sorted by name.
  std::vector<DrainedDomainSpec> DrainedDomains; ///< Sorted by name.
  std::vector<PoolSpec> Pools;                   ///< Sorted by name.
  std::vector<PipelineSpec> Pipelines;           ///< Sorted by name.
  ShareSpec Shares;                              ///< Capacity shares.

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

using BundlePtr = std::shared_ptr<const Bundle>; ///< Shared, immutable.

} // namespace fulmar

#endif
