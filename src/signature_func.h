/// \file signature_func.h Hashes, keyed MACs and signatures.
#ifndef FULMARSTEP_SIGNATURE_FUNC_H
#define FULMARSTEP_SIGNATURE_FUNC_H

#include <string>
#include <string_view>
#include <vector>

#include "bundle_base.h"

namespace fulmar {

/// SHA-256 of \p Text.
Digest sha256(std::string_view Text);

/// HMAC-SHA-256 of \p Text under \p Key.
Digest hmacSha256(std::string_view Key, std::string_view Text);

/// Compares two digests in constant time, so that the duration does not reveal
/// where they differ.
bool sameDigest(const Digest &A, const Digest &B);

/// An Ed25519 key pair.
struct SigningKey {
  std::string PrivateHex; ///< 64 hex digits; secret.
  std::string PublicHex;  ///< 64 hex digits.
};

/// Generates a key pair.
SigningKey makeSigningKey();

/// Derives the public key of a private key, in hex.
/// \throws Error SignatureInvalid when \p PrivateHex is not a key.
std::string publicKeyOf(const std::string &PrivateHex);

/// Signs \p Text with Ed25519.
/// \return The signature as 64 raw bytes.
/// \throws Error SignatureInvalid when \p PrivateHex is not a key.
std::string signText(const std::string &PrivateHex, std::string_view Text);

/// \return Whether \p Signature is a valid Ed25519 signature of \p Text.
bool verifyText(const std::string &PublicHex, std::string_view Text,
                std::string_view Signature);

/// \return Whether the seal is signed with a trusted key of the signer that it
/// names.
///
/// \param OperatorKeys trusted public keys, each as NAME:HEX.
bool verifySeal(const BundleSeal &Seal,
                const std::vector<std::string> &OperatorKeys);

/// Encodes bytes as base64.
std::string base64Encode(std::string_view Bytes);

/// Decodes base64; empty if \p Text is not valid base64.
std::string base64Decode(std::string_view Text);

/// Encodes bytes as lower-case hex.
std::string toHex(std::string_view Bytes);

/// Decodes lower-case hex; empty if \p Text is not valid hex.
std::string fromHex(std::string_view Text);

} // namespace fulmar

#endif
