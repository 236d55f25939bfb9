#include "gateway/settings.h"

#include <algorithm>

#include "base/settings_reader.h"

namespace archdyke::gateway
{
	namespace
	{
		constexpr std::int64_t kMaxPort = 65'535;
		constexpr std::int64_t kMaxBoundMs = 3'600'000;
		constexpr double kMaxRetries = 1e6;
		constexpr double kMaxLinkMbps = 1e6;
		constexpr double kMinMemoryMb = 16.0;
		constexpr double kMaxMemoryMb = 1e6;

		Place readPlace(ObjectReader& _reader)
		{
			Place place;
			place.name = _reader.text("name");
			place.zone = _reader.text("zone");
			place.ip = _reader.text("ip");
			place.peerPort = int(_reader.integer("peerPort", 1, kMaxPort));
			place.metrics = readAddress(_reader, "metrics");
			place.store = readAddress(_reader, "store");
			place.linkMbps = _reader.numberOr("linkMbps", 0.1, kMaxLinkMbps, place.linkMbps);
			place.memoryMb = _reader.numberOr("memoryMb", kMinMemoryMb, kMaxMemoryMb, place.memoryMb);
			return place;
		}

		Bounds readBounds(ObjectReader& _reader)
		{
			const Bounds usual;
			Bounds bounds;
			bounds.revocationMs = _reader.integerOr("revocationMs", 1, kMaxBoundMs, usual.revocationMs);
			bounds.strictRevocation = _reader.flagOr("strictRevocation", usual.strictRevocation);
			bounds.changeMs = std::min(_reader.integerOr("configurationMs", 1, kMaxBoundMs, usual.changeMs), _reader.integerOr("drainMs", 1, kMaxBoundMs, usual.changeMs));
			bounds.graceMs = Millis(1'000.0 * _reader.numberOr("graceS", 0.1, 3'600.0, double(usual.graceMs) / 1'000.0));
			bounds.retryRatio = _reader.numberOr("retryRatio", 0.0, 10.0, usual.retryRatio);
			bounds.retryWindowMs = Millis(1'000.0 * _reader.numberOr("retryWindowS", 0.1, 3'600.0, double(usual.retryWindowMs) / 1'000.0));
			bounds.retryAllowance = _reader.numberOr("retryAllowance", 0.0, kMaxRetries, usual.retryAllowance);
			bounds.stallMs = Millis(_reader.numberOr("stallMs", 0.0, double(kMaxBoundMs), double(usual.stallMs)));
			bounds.evacuationMs = _reader.integerOr("evacuationMs", 1, kMaxBoundMs, usual.evacuationMs);
			bounds.changeMs = std::min(bounds.changeMs, bounds.evacuationMs); // both are confirmed by the same proofs
			bounds.coldOvershoot = _reader.numberOr("coldOvershoot", 1.0, 100.0, usual.coldOvershoot);
			bounds.coldAllowance = _reader.numberOr("coldAllowance", 0.0, kMaxRetries, usual.coldAllowance);
			bounds.limitWindowMs = _reader.integerOr("limitWindowMs", 100, kMaxBoundMs, usual.limitWindowMs);
			bounds.limitOvershoot = _reader.numberOr("limitOvershoot", 1.0, 100.0, usual.limitOvershoot);
			bounds.limitAllowance = _reader.numberOr("limitAllowance", 0.0, kMaxRetries, usual.limitAllowance);
			return bounds;
		}
	} // namespace

	std::size_t memoryBytes(const Place& _place)
	{
		constexpr double kMiB = 1'048'576.0;
		return std::size_t(_place.memoryMb * kMiB);
	}

	GatewaySettings loadGatewaySettings(const std::string& _path)
	{
		return loadSettings<GatewaySettings>(_path, UnknownFields::Ignore, [](ObjectReader& _reader) {
			GatewaySettings settings;
			settings.place = readPlace(_reader);
			settings.callers = readAddress(_reader, "callers");
			settings.readiness = readAddress(_reader, "readiness");
			settings.bounds = readBounds(_reader);
			settings.firstStart = _reader.flagOr("firstStart", settings.firstStart);
			return settings;
		});
	}

	SidecarSettings loadSidecarSettings(const std::string& _path)
	{
		return loadSettings<SidecarSettings>(_path, UnknownFields::Ignore, [](ObjectReader& _reader) {
			SidecarSettings settings;
			settings.place = readPlace(_reader);
			settings.upstream = readAddress(_reader, "upstream");
			settings.service = _reader.text("service");
			settings.bounds = readBounds(_reader);
			return settings;
		});
	}
} // namespace archdyke::gateway
