/// \file peer_codec.h Encodes and decodes messages and stored values as
/// protobuf.
#ifndef FULMARSTEP_PEER_CODEC_H
#define FULMARSTEP_PEER_CODEC_H

#include <optional>
#include <string_view>

#include "ledger_type.h"
#include "peer_type.h"

namespace fulmar {

/// Encodes a message and authenticates it with the key that all nodes share.
std::string encodePeer(const PeerMessage &Message, std::string_view Key);

/// Authenticates and decodes a message.
/// \return Nothing if neither key matches or the bytes are damaged.
std::optional<PeerMessage> decodePeer(std::string_view Bytes,
                                      std::string_view Key,
                                      std::string_view PreviousKey);

/// Decodes the part of a message that its authentication code covers, without
/// checking that.
/// \return Nothing if the bytes are damaged.
std::optional<PeerMessage> decodeSignedPart(const std::string &Bytes);

/// Encodes a bundle for the key-value service.
std::string encodeBundle(const SignedBundle &Bundle);
/// Decodes a bundle; nothing if the bytes are damaged.
std::optional<SignedBundle> decodeBundle(std::string_view Bytes);

/// Encodes a shard's head.
std::string encodeHead(const LedgerHead &Head);
/// Decodes a shard's head; an empty value is an empty head.
std::optional<LedgerHead> decodeHead(std::string_view Bytes);

/// Encodes a segment.
std::string encodeSegment(const std::vector<LedgerEntry> &Entries);
/// Decodes a segment.
std::optional<std::vector<LedgerEntry>> decodeSegment(std::string_view Bytes);

} // namespace fulmar

#endif
