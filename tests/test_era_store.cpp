/// A store that comes back from a copy: numbers of an earlier era are neither asked for nor expected.
#include "store/era_store.h"

#include <criterion/criterion.h>
#include <kj/async.h>

using namespace archdyke;
using namespace archdyke::store;

namespace
{
	/// A store that counts the calls and names an era in its responses.
	struct FakeStore final : TableStore
	{
		aio::Task<Rows> read(std::string, std::string, std::string) override
		{
			co_return this->rows();
		}

		aio::Task<Rows> follow(std::string, std::uint64_t, Millis) override
		{
			this->follows += 1;
			co_return this->rows();
		}

		aio::Task<WriteResult> write(ConditionalWrite) override
		{
			this->writes += 1;
			co_return WriteResult{true, makeVersion(this->era, 8), std::nullopt};
		}

		aio::Task<void> change(RowChanges) override
		{
			co_return;
		}

		Rows rows() const
		{
			Rows result;
			result.era = this->era;
			result.version = makeVersion(this->era, 7);
			return result;
		}

		std::uint64_t era = 1;
		int follows = 0;
		int writes = 0;
	};

	struct Rig
	{
		Rows read()
		{
			return this->store.read("t", "", "").take().wait(this->scope);
		}

		Rows follow(std::uint64_t _since)
		{
			return this->store.follow("t", _since, 0).take().wait(this->scope);
		}

		/// @returns Whether a write that expects a version is reported as written; false when it throws.
		bool write(std::uint64_t _expected)
		{
			try
			{
				return this->store.write({{"t", "", "key"}, "value", _expected}).take().wait(this->scope).written;
			}
			catch (const kj::Exception&)
			{
				return false;
			}
		}

		kj::EventLoop loop;
		kj::WaitScope scope{loop};
		Metrics metrics;
		FakeStore* fake = new FakeStore; // owned by the store
		EraStore store{std::unique_ptr<TableStore>(fake), metrics};
	};
} // namespace

Test(erastore, calls_of_the_present_era_pass)
{
	Rig rig;
	cr_assert(1 == rig.read().era);
	cr_assert(!rig.follow(makeVersion(1, 5)).historyTruncated && 1 == rig.fake->follows);
	cr_assert(!rig.follow(0).historyTruncated, "nothing is known yet");
	cr_assert(rig.write(makeVersion(1, 5)) && rig.write(0) && 2 == rig.fake->writes);
}

/// Guards against a follower that waits for a change after a number that was given out again.
Test(erastore, changes_since_a_version_of_an_earlier_era_are_truncated)
{
	Rig rig;
	rig.fake->era = 2;
	cr_assert(rig.follow(makeVersion(1, 5)).historyTruncated && 1 == rig.fake->follows, "the response shows the new era");
	const Rows again = rig.follow(makeVersion(1, 5));
	cr_assert(again.historyTruncated && 2 == again.era && 1 == rig.fake->follows, "no call that would wait");
	cr_assert(!rig.follow(makeVersion(2, 7)).historyTruncated);
}

/// Guards against a write that expects a number which means another content by now.
Test(erastore, a_write_never_expects_a_number_of_an_earlier_era)
{
	Rig rig;
	rig.fake->era = 2;
	cr_assert(!rig.write(makeVersion(1, 5)) && 1 == rig.fake->writes, "the response shows the new era");
	cr_assert(2 == rig.read().era);
	cr_assert(!rig.write(makeVersion(1, 5)) && 1 == rig.fake->writes, "no call");
	cr_assert(rig.write(makeVersion(2, 7)) && rig.write(0));
}
