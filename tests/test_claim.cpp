/// Claims of idempotency keys.
#include "archdyke/claim.h"
#include "check.h"

using namespace archdyke;

Test(claim, row_survives_its_encoding)
{
	const ClaimRow claimed{ClaimState::Claimed, "n:1"};
	const ClaimRow ran{ClaimState::Ran, "n2"};
	cr_assert(claimed == decodeClaim(encodeClaim(claimed)));
	cr_assert(ran == decodeClaim(encodeClaim(ran)));
}

Test(claim, only_the_own_claim_or_a_free_key_may_run)
{
	cr_assert(ClaimVerdict::Free == evaluateClaim(std::nullopt, "a"));
	cr_assert(ClaimVerdict::Mine == evaluateClaim(ClaimRow{ClaimState::Claimed, "a"}, "a"));
	cr_assert(ClaimVerdict::InDoubt == evaluateClaim(ClaimRow{ClaimState::Claimed, "b"}, "a"));
	cr_assert(ClaimVerdict::AlreadyRan == evaluateClaim(ClaimRow{ClaimState::Ran, "a"}, "a"));
	cr_assert(ClaimVerdict::InDoubt == evaluateClaim(decodeClaim("what is this"), "a"));
}
