#!/usr/bin/env bash
# Checks that src/decide and include/archdyke use no sockets, threads, clocks, logs or random devices.
# Callers pass time and random generators in.
set -euo pipefail
cd "$(dirname "$0")/.."
banned='<(thread|mutex|atomic|chrono|ctime|condition_variable|future|iostream|fstream|filesystem|sys/|netinet|unistd|pthread|httplib|kj/|capnp/|absl/(synchronization|time)|fmt/|prometheus)|random_device|getenv|"(base/(address|admin|config_rows|daemon_main|http_server|log|metrics|pause_guard|platform_client|process|settings)|(rpc|entry|agent|operator|gateway|group|store|http|aio)/)'
if grep -nE "#include $banned|random_device|system_clock|steady_clock|getenv" src/decide/* include/archdyke/*; then
	echo "src/decide and include/archdyke must be pure: pass time, random generators and messages in as arguments" >&2
	exit 1
fi
archive=$(ls build/*/libarchdyke-decide.a 2>/dev/null | head -n 1)
if [ -n "$archive" ] && nm -C --undefined-only "$archive" | grep -E " (socket|connect|pthread_create|clock_gettime|gettimeofday|open64?|std::random_device)" ; then
	echo "libarchdyke-decide.a links against sockets, threads, clocks, files or random devices" >&2
	exit 1
fi
echo "decisions are pure"
