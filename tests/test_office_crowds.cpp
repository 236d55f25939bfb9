/// Crowds of clients that don't behave, at the ports of an entry and of an agent: they live, stay within the memory of their
/// machine and their descriptors, and answer an ordinary request beside the crowd and after it.
#include "crowd.h"
#include "gateway_rig.h"
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// An entry or an agent with little memory and few descriptors. The platform and the service can't be reached.
	struct DaemonRig
	{
		ScratchDirectory directory;
		std::unique_ptr<lab::ChildProcess> process;

		DaemonRig(const std::string& _program, Json _settings)
		{
			const std::string path = this->directory.path + "/settings.json";
			_settings.update({{"name", "small"}, {"zone", "here"}, {"rpc", "127.0.0.1:0"}, {"admin", "127.0.0.1:0"}, {"memoryMb", kMemoryMb}});
			std::ofstream(path) << _settings.dump();
			const LoweredDescriptorLimit limit(kDescriptors);
			this->process = std::make_unique<lab::ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/" + _program, std::vector<std::string>{"--settings", path}, this->directory.path + "/daemon.log");
		}

		/// @returns Whether a request is answered, at the latest when it is sent again.
		static bool answers(const std::string& _address, const std::string& _target)
		{
			return lab::waitUntil(kAnswerWaitMs, [&] {
				httplib::Client client = clientOf(_address);
				client.set_read_timeout(2);
				const httplib::Result result = client.Get(_target);
				return bool(result);
			});
		}

		/// @param[in] _port Field of the line in the log that names the crowd's port.
		void checkCrowd(const std::string& _port, std::size_t _clients, const CrowdPlan& _plan, const std::string& _answersAt, const std::string& _target) const
		{
			const std::string address = this->process->listening(_port);
			const std::string answersAt = this->process->listening(_answersAt);
			const ProcessWatch watch(this->process->id(), {unsigned(parseAddress(address).port)}, {});
			{
				const Crowd crowd(address, _clients, _plan);
				crowd.waitUntilStuck();
				cr_expect(answers(answersAt, _target), "no answer beside the crowd");
			}
			cr_expect(answers(answersAt, _target), "no answer after the crowd");
			checkBounds(*this->process, watch);
		}
	};

	DaemonRig startEntry()
	{
		return {"archdyke-entry", {{"http", "127.0.0.1:0"}, {"platform", "127.0.0.1:9"}}};
	}

	DaemonRig startAgent()
	{
		return {"archdyke-agent", {{"upstream", {{"kind", "plain"}, {"address", "127.0.0.1:9"}}}}};
	}

	/// @returns What a client sends that announces a Cap'n Proto message of 4 MiB and stops short.
	CrowdPlan shortMessage()
	{
		constexpr std::uint32_t kWords = 524'288;
		return {segmentTable(kWords), std::string(65'536, '\0'), 63};
	}

	CrowdPlan shortBody()
	{
		return {"POST /shop/x HTTP/1.1\r\nHost: office.example\r\nContent-Length: 1048576\r\n\r\n", std::string(65'536, 'x').substr(1), 16};
	}

	CrowdPlan endlessChunks()
	{
		return {"POST /shop/x HTTP/1.1\r\nHost: office.example\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf(65'536), 200};
	}
} // namespace

Test(officecrowds, messages_at_an_agent_that_stop_short)
{
	startAgent().checkCrowd("rpc", 60, shortMessage(), "admin", "/metrics");
}

Test(officecrowds, messages_at_an_entry_that_stop_short)
{
	startEntry().checkCrowd("rpc", 60, shortMessage(), "http", "/shop/x");
}

Test(officecrowds, silent_connections_of_peers_at_an_agent)
{
	startAgent().checkCrowd("rpc", 1'200, {}, "admin", "/metrics");
}

Test(officecrowds, bodies_at_an_entry_that_stop_short)
{
	startEntry().checkCrowd("http", 100, shortBody(), "http", "/shop/x");
}

Test(officecrowds, chunks_at_an_entry_far_over_the_limit)
{
	startEntry().checkCrowd("http", 60, endlessChunks(), "http", "/shop/x");
}

Test(officecrowds, silent_connections_of_callers_at_an_entry)
{
	startEntry().checkCrowd("http", 1'200, {}, "http", "/shop/x");
}

Test(officecrowds, bodies_at_the_admin_port_of_an_agent)
{
	startAgent().checkCrowd("admin", 60, endlessChunks(), "admin", "/metrics");
}

namespace
{
	/// Long answers that callers of an entry read slowly.
	/// @param[in] _agentMemoryMb Memory of the agents' VMs, MiB; 0: the default, which isn't checked.
	void checkSlowReaders(double _agentMemoryMb)
	{
		constexpr std::size_t kClients = 60;
		lab::OfficeOptions options = smallOffice();
		options.viaProxy = false;
		options.entryMemoryMb = double(kMemoryMb);
		options.agentMemoryMb = _agentMemoryMb;
		lab::Office office(options);
		makeReady(office);
		lab::Daemon& entry = *office.entries().front();
		std::vector<std::unique_ptr<ProcessWatch>> agents;
		for (const std::unique_ptr<lab::Daemon>& agent : office.agents())
		{
			agents.push_back(std::make_unique<ProcessWatch>(agent->process->id(), std::set<unsigned>{unsigned(parseAddress(agent->rpc).port)}, std::set<unsigned>{}));
		}
		const ProcessWatch watch(entry.process->id(), {unsigned(parseAddress(entry.http).port)}, {});
		const httplib::Headers headers{{"Authorization", "Bearer key-alpha"}};
		const auto answersOrdinaryCaller = [&] {
			return lab::waitUntil(kAnswerWaitMs, [&] {
				httplib::Client client = clientOf(entry.http);
				const httplib::Result result = client.Get("/shop/x", headers);
				return result && 200 == result->status;
			});
		};
		{
			const httplib::Result whole = clientOf(entry.http).Get("/shop/x?size=4000000", headers);
			cr_assert(whole && 4'000'000 == whole->body.size(), "status %d, %zu bytes", whole ? whole->status : 0, whole ? whole->body.size() : 0);
		}
		{
			const Crowd crowd(entry.http, kClients, {"GET /shop/x?size=4000000 HTTP/1.1\r\nHost: office.example\r\nAuthorization: Bearer key-alpha\r\n\r\n", "", 0, 1});
			crowd.waitUntilStuck();
			cr_expect(answersOrdinaryCaller(), "no answer beside the crowd");
		}
		cr_expect(answersOrdinaryCaller(), "no answer after the crowd");
		checkBounds(*entry.process, watch);
		for (std::size_t agent = 0; 0.0 < _agentMemoryMb && agent < agents.size(); ++agent)
		{
			checkBounds(*office.agents()[agent]->process, *agents[agent]);
		}
	}
} // namespace

Test(officecrowds, readers_of_long_answers_who_read_slowly)
{
	checkSlowReaders(double(kMemoryMb));
}

/// Agents that send as much as the entry takes.
Test(officecrowds, readers_of_long_answers_at_an_entry_of_little_memory)
{
	checkSlowReaders(0.0);
}
