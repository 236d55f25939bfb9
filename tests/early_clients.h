/// Calls of clients to servers whose responses come early, are reset or aren't valid.
#pragma once

#include <future>

#include "early_server.h"
#include "invalid_heads.h"

namespace archdyke::tests
{
	/// One call of a client.
	struct ClientCall
	{
		std::string name;
		std::string lines; ///< Header lines of a sound response, with their ends.
		std::string body;  ///< Of a sound response.
		/// @returns Whether the call gets a response from the server with this address.
		std::function<bool(const std::string&)> succeeds;
		bool asksAgain = false; ///< It asks the server's health if it gets no response.
	};

	struct NamedAnswer
	{
		std::string name;
		EarlyAnswer answer;
	};

	/// @returns Whether a client takes what a server sends for a response.
	inline bool takes(const ClientCall& _call, const EarlyAnswer& _answer)
	{
		const EarlyServer server([&](const std::string& _head) {
			const bool isHealth = _call.asksAgain && std::string::npos != _head.find(" /health ");
			return isHealth ? EarlyAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", EarlyEnd::FinAndRead, kWholeUpload} : _answer;
		});
		return _call.succeeds(server.address);
	}

	/// Makes a call once for each answer, all at once.
	/// @returns The names of the answers that are taken although they shouldn't be, or the other way round.
	inline std::string wronglyTaken(const ClientCall& _call, const std::vector<NamedAnswer>& _answers, bool _expected)
	{
		std::vector<std::future<bool>> calls;
		for (const NamedAnswer& named : _answers)
		{
			calls.push_back(std::async(std::launch::async, [&] {
				return takes(_call, named.answer);
			}));
		}
		std::string wrong;
		for (std::size_t at = 0; at < calls.size(); ++at)
		{
			wrong += _expected == calls[at].get() ? "" : "\n" + _call.name + ": " + _answers[at].name;
		}
		return wrong;
	}

	/// @returns Sound responses without length whose connection ends at each moment of the request, some times each.
	inline std::vector<NamedAnswer> answersAtAllMoments(const ClientCall& _call, EarlyEnd _end)
	{
		constexpr int kRepeats = 3;
		std::vector<NamedAnswer> answers;
		for (const std::size_t moment : uploadMoments())
		{
			for (int repeat = 0; repeat < kRepeats; ++repeat)
			{
				answers.push_back({fmt::format("{} bytes read", moment), {"HTTP/1.1 200 OK\r\n" + _call.lines + "\r\n" + _call.body, _end, moment}});
			}
		}
		return answers;
	}

	/// @returns Responses whose head or trailers aren't valid, but for that sound.
	inline std::vector<NamedAnswer> invalidAnswers(const ClientCall& _call)
	{
		std::vector<NamedAnswer> answers;
		for (const InvalidResponse& invalid : invalidResponses(_call.lines, _call.body.empty() ? "body" : _call.body))
		{
			answers.push_back({invalid.name, {invalid.bytes, EarlyEnd::FinAndRead, kWholeUpload}});
		}
		return answers;
	}
} // namespace archdyke::tests
