/// Waiting items of several flows, one flow an organisation, taken in fair order.
///
/// Answers the load of one organisation that sends far more than the others: it waits behind itself,
/// and the others are served as if it had sent its share. Start-time fair queueing, see P. Goyal,
/// H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
#pragma once

#include <absl/container/btree_map.h>
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace archdyke
{
	/// What one flow has waiting.
	template <typename Item>
	struct FairFlow
	{
		std::deque<Item> items;
		std::uint32_t weight = 1;
		double finishTag = 0.0; ///< Virtual time at which its last taken item is paid for.
	};

	/// The flows, by name.
	template <typename Item>
	struct FairQueue
	{
		absl::btree_map<std::string, FairFlow<Item>> flows;
		std::size_t queued = 0; ///< Items of all flows.
		double virtualTime = 0.0;
	};

	/// @returns The flow of a name, made when it isn't there.
	template <typename Item>
	FairFlow<Item>& flowOf(FairQueue<Item>& _queue, const std::string& _name, std::uint32_t _weight)
	{
		FairFlow<Item>& flow = _queue.flows[_name];
		flow.weight = std::max<std::uint32_t>(1, _weight);
		return flow;
	}

	/// Puts an item at the end of its flow.
	template <typename Item>
	void pushItem(FairQueue<Item>& _queue, const std::string& _name, std::uint32_t _weight, Item _item)
	{
		flowOf(_queue, _name, _weight).items.push_back(std::move(_item));
		_queue.queued += 1;
	}

	/// Puts an item into its flow, behind those that come before it or are its equals.
	template <typename Item, typename Before>
	void insertItem(FairQueue<Item>& _queue, const std::string& _name, std::uint32_t _weight, Item _item, Before _before)
	{
		std::deque<Item>& items = flowOf(_queue, _name, _weight).items;
		items.insert(std::upper_bound(items.begin(), items.end(), _item, _before), std::move(_item));
		_queue.queued += 1;
	}

	/// @returns Items waiting by the flow's weight.
	template <typename Item>
	double sharePerWeight(const FairFlow<Item>& _flow)
	{
		return double(_flow.items.size()) / double(_flow.weight);
	}

	/// @returns Weight of all flows that wait.
	template <typename Item>
	double waitingWeight(const FairQueue<Item>& _queue)
	{
		double weight = 0.0;
		for (const auto& [name, flow] : _queue.flows)
		{
			weight += flow.items.empty() ? 0.0 : double(flow.weight);
		}
		return weight;
	}

	/// @returns Name of the flow that holds most for its weight. The queue isn't empty.
	template <typename Item>
	std::string largestFlow(const FairQueue<Item>& _queue)
	{
		const auto most = std::max_element(_queue.flows.begin(), _queue.flows.end(), [](const auto& _a, const auto& _b) {
			return sharePerWeight(_a.second) < sharePerWeight(_b.second);
		});
		return most->first;
	}

	/// @returns Virtual time at which the next item of a flow starts.
	template <typename Item>
	double startTag(const FairQueue<Item>& _queue, const FairFlow<Item>& _flow)
	{
		return std::max(_queue.virtualTime, _flow.finishTag);
	}

	/// @returns Name of the flow whose next item starts first. The queue isn't empty.
	template <typename Item>
	std::string nextFlow(const FairQueue<Item>& _queue)
	{
		const std::string* next = nullptr;
		double nextTag = 0.0;
		for (const auto& [name, flow] : _queue.flows)
		{
			const double tag = startTag(_queue, flow);
			if (!flow.items.empty() && (nullptr == next || tag < nextTag))
			{
				next = &name;
				nextTag = tag;
			}
		}
		return *next;
	}

	/// @returns Names of the flows that wait, the one whose next item starts first at the front.
	template <typename Item>
	std::vector<std::string> flowsInOrder(const FairQueue<Item>& _queue)
	{
		std::vector<std::pair<double, std::string>> tagged;
		for (const auto& [name, flow] : _queue.flows)
		{
			if (!flow.items.empty())
			{
				tagged.emplace_back(startTag(_queue, flow), name);
			}
		}
		std::sort(tagged.begin(), tagged.end());
		std::vector<std::string> names;
		for (auto& [tag, name] : tagged)
		{
			names.push_back(std::move(name));
		}
		return names;
	}

	/// Takes the first item of a flow and charges it; a flow that waits for nothing and has paid goes.
	template <typename Item>
	Item takeFirst(FairQueue<Item>& _queue, const std::string& _name)
	{
		const auto found = _queue.flows.find(_name);
		FairFlow<Item>& flow = found->second;
		Item item = std::move(flow.items.front());
		flow.items.pop_front();
		_queue.queued -= 1;
		const double start = startTag(_queue, flow);
		flow.finishTag = start + 1.0 / double(flow.weight);
		_queue.virtualTime = start;
		if (flow.items.empty() && flow.finishTag <= _queue.virtualTime)
		{
			_queue.flows.erase(found);
		}
		return item;
	}

	/// Takes out all items for which the condition holds, in the order of the flows' names.
	template <typename Item, typename Condition>
	void eraseItems(FairQueue<Item>& _queue, Condition _condition)
	{
		for (auto& [name, flow] : _queue.flows)
		{
			_queue.queued -= std::erase_if(flow.items, _condition);
		}
	}
} // namespace archdyke
