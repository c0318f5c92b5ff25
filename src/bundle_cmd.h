/// \file bundle_cmd.h Commands that change the bundle in the key-value service.
#ifndef FULMARSTEP_BUNDLE_CMD_H
#define FULMARSTEP_BUNDLE_CMD_H

#include "bundle_base.h"
#include "kv_type.h"
#include "result_type.h"

namespace fulmar {

/// Whether a command is a dry run or is executed. Both modes run the same code,
/// so a dry run accepts exactly what an execution accepts.
enum class CommandMode {
  Test,    ///< Dry run: report the result, write nothing.
  Execute, ///< Write the change.
  Count,   ///< Number of modes.
  Invalid, ///< Not a mode.
};

/// Blocking client of the key-value service, for commands, which have nothing
/// else to do while they wait.
class BlockingKv {
public:
  virtual ~BlockingKv() = default;
  /// Reads an entry.
  virtual KvStatus get(const std::string &Key, KvEntry &Out) = 0;
  /// Compare-and-set: writes an entry if its modify index is still \p Index.
  virtual KvStatus cas(const std::string &Key, const std::string &Value,
                       std::uint64_t Index) = 0;
};

/// Result of a command.
struct CommandResult {
  ResultCode Code = ResultCode::Complete; ///< Complete, or the error.
  std::string Message;                    ///< Text shown to the operator.
};

/// Signs \p Items as \p Version.
/// \param PrivateHex the signer's Ed25519 private key, in hex.
/// \param Now time of signing.
SignedBundle sealBundle(BundleItems Items, std::uint64_t Version,
                        const std::string &Signer,
                        const std::string &PrivateHex, const std::string &Note,
                        WallMs Now);

/// Reads the bundle that the key-value service holds.
/// \param[out] Index modify index of the entry, for BlockingKv::cas.
/// \return A bundle of version 0 when there is none.
/// \throws Error KvUnavailable, or BundleInvalid when it is damaged.
SignedBundle readAcceptedBundle(BlockingKv &Kv, std::uint64_t &Index);

/// Accepts a signed bundle: writes it if its version is one above the stored
/// version.
/// \param Keys operators' public keys; if empty, only the nodes check the
/// signature.
CommandResult acceptBundle(BlockingKv &Kv, const SignedBundle &Next,
                           const std::vector<std::string> &Keys,
                           CommandMode Mode);

} // namespace fulmar

#endif
