#!/usr/bin/env bash
# Checks how the command line reports errors: one numbered line, the right exit
# code, and nothing on standard output.
set -u
program=${FULMARSTEP:-build/fulmarstep}
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
check() { # expected exit code, expected text, arguments
  code=$1
  text=$2
  shift 2
  out=$("$program" "$@" 2>&1 >"$dir/stdout")
  got=$?
  if [ $got != "$code" ] || ! grep -qF -- "$text" <<<"$out"; then
    echo "fulmarstep $*: exit $got, expected $code and '$text'; said: $out"
    failed=1
  fi
}
check 2 "error 5001 UnknownSubcommand: unknown subcommand \`serv\`; did you mean \`serve\`?" serv
check 2 "error 5000 UsageError: unknown flag --setings of \`serve\`; did you mean --settings?" serve --setings x
check 2 "error 5000 UsageError: --seconds: \"soon\" is not a value of its type" demo --seconds soon
check 2 "error 5000 UsageError: serve needs --settings FILE" serve
check 2 "error 5000 UsageError: --settings needs a value" serve --settings
check 1 "error 5002 FileUnreadable: cannot read file: /nowhere" serve --settings /nowhere
check 2 "usage: fulmarstep SUBCOMMAND"
echo '{"node_id": "n", "prot": 1}' >"$dir/bad.json"
check 1 "error 5003 SettingsInvalid" serve --settings "$dir/bad.json"
check 1 "bad.json:1: kv_address: is missing" serve --settings "$dir/bad.json"
echo '{"pools": [{"name": "p", "kind": "stge"}]}' >"$dir/bundle.json"
check 1 "error 5004 BundleInvalid" bundle check --file "$dir/bundle.json"
check 1 "error 5008 KvUnavailable" bundle show --kv 127.0.0.1:1
check 1 "error 5009 NodeUnreachable" status --nodes 127.0.0.1:1 --token x
check 1 "error 5009 NodeUnreachable" request --entry 127.0.0.1:1 --organisation o --pipeline p x
check 2 "bundle needs one step" bundle
check 2 "gateway needs --settings FILE" gateway
check 1 "bad.json:1: caller_address: is missing" gateway --settings "$dir/bad.json"
check 2 "explain needs one request id" explain
check 1 "error 5014 NotFound: no line of the request r1" explain r1 </dev/null
# End to end: gateway nodes in front of the stand-in of the platform.
check 0 "" demo --platform --seconds 1
grep -q "promises broken 0" "$dir/stdout" || { echo "demo --platform: $(cat "$dir/stdout")"; failed=1; }
check 2 "bench needs one of" bench nothing
check 0 "" --version
check 0 "" bundle check --file examples/avstamning-bundle.json
# Bundle steps that need only files: key generation, signing, and a refused
# signature of an untrusted key.
"$program" bundle keygen --out "$dir/key" >"$dir/pub" || failed=1
check 0 "" bundle sign --file examples/avstamning-bundle.json --version_number 1 --key "$dir/key" --signer op --note n --out "$dir/b"
check 1 "error 5007 SignatureInvalid" bundle accept --file "$dir/b" --operator_keys "op:$(printf '0%.0s' $(seq 64))" --kv 127.0.0.1:1
for sub in serve gateway bundle status request explain demo standin bench help; do
  "$program" $sub --help | grep -q usage || { echo "$sub --help says nothing"; failed=1; }
done
[ $failed = 0 ] && echo "command line: good"
exit $failed
