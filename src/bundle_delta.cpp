/// \file bundle_delta.cpp Content hashes and deltas of bundles.
#include "bundle_func.h"
#include "signature_func.h"

namespace fulmar {

static std::string_view viewOf(const Digest &D) {
  return {reinterpret_cast<const char *>(D.data()), D.size()};
}

std::string hexOf(const Digest &D) { return toHex(viewOf(D)); }

BundleItem makeItem(std::string_view Key, std::string Json) {
  std::string Text(Key);
  Text += '\0';
  Text += Json;
  return {std::move(Json), sha256(Text)};
}

Digest rootOf(const BundleItems &Items) {
  // Each item's hash covers its key, and the map is sorted, so the concatenated
  // hashes identify the whole content. After a change only the changed item is
  // hashed again.
  std::string Joined;
  Joined.reserve(Items.size() * sizeof(Digest));
  for (const auto &[Key, Item] : Items)
    Joined += viewOf(Item.Hash);
  return sha256(Joined);
}

std::string sealStatement(const BundleSeal &Seal) {
  return "fulmarstep bundle\nversion " + std::to_string(Seal.Version) +
         "\nroot " + hexOf(Seal.Root) + "\nsigner " + Seal.Signer +
         "\ncreated " + std::to_string(Seal.CreatedMs) + "\nnote " + Seal.Note +
         "\n";
}

BundleDelta diffBundles(const SignedBundle &From, const SignedBundle &To) {
  BundleDelta Delta;
  Delta.FromVersion = From.Seal.Version;
  Delta.FromRoot = From.Seal.Root;
  Delta.Seal = To.Seal;
  for (const auto &[Key, Item] : To.Items) {
    auto Old = From.Items.find(Key);
    if (Old != From.Items.end() && Old->second.Hash == Item.Hash)
      continue;
    Delta.Changed[Key] = Item.Json;
  }
  for (const auto &[Key, Item] : From.Items) {
    if (!To.Items.count(Key))
      Delta.Removed.push_back(Key);
  }
  return Delta;
}

std::optional<SignedBundle> applyDelta(const SignedBundle &Base,
                                       const BundleDelta &Delta) {
  SignedBundle Out;
  if (Delta.FromVersion != 0) {
    if (Delta.FromVersion != Base.Seal.Version ||
        Delta.FromRoot != Base.Seal.Root)
      return std::nullopt;
    Out.Items = Base.Items;
    Out.History = Base.History;
    Out.History.insert(Out.History.begin(), Base.Seal);
  }
  for (const std::string &Key : Delta.Removed)
    Out.Items.erase(Key);
  for (const auto &[Key, Json] : Delta.Changed)
    Out.Items[Key] = makeItem(Key, Json);
  Out.Seal = Delta.Seal;
  // The signature covers the root, not the delta. A delta that is corrupt or
  // was made from another base gives another root and is rejected as a whole.
  if (rootOf(Out.Items) != Delta.Seal.Root)
    return std::nullopt;
  return Out;
}

} // namespace fulmar
