#!/usr/bin/env bash
# Installs the Debian packages that the build needs, and builds. Skips packages that are installed.
#   scripts/setup.sh [PRESET]     preset of CMakePresets.json; default: release
set -euo pipefail
cd "$(dirname "$0")/.."
packages=(
	g++ cmake ninja-build pkg-config clang-format clang-tidy gnuplot-nox
	libabsl-dev capnproto libcapnp-dev prometheus-cpp-dev libcpp-httplib-dev libcxxopts-dev
	libfmt-dev libcriterion-dev nlohmann-json3-dev libxxhash-dev librapidcheck-dev
	libssl-dev libbrotli-dev zlib1g-dev libhttp-parser-dev
)
missing=()
for package in "${packages[@]}"; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q "ok installed" || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
	sudo=""
	[ "$(id -u)" = 0 ] || sudo=sudo
	export DEBIAN_FRONTEND=noninteractive
	$sudo apt-get update -qq
	$sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
preset=${1:-release}
[ -f "build/$preset/build.ninja" ] || cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" | tail -n 3
