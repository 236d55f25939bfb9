/// Exceptions thrown by archdyke. Each message states what happened, to what, and how to fix it.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace archdyke
{
	/// Base of all errors of archdyke.
	struct ArchdykeError : std::runtime_error
	{
		using std::runtime_error::runtime_error;
	};

	/// A problem in a file or message.
	struct Problem
	{
		std::string where;  ///< Line number or path of the field.
		std::string found;  ///< Value found there.
		std::string remedy; ///< What to write instead.

		bool operator==(const Problem&) const = default;
	};

	/// An invalid file or message. Lists all its problems.
	struct InvalidInputError : ArchdykeError
	{
		InvalidInputError(const std::string& _source, std::vector<Problem> _problems);

		std::vector<Problem> problems;
	};

	/// The platform didn't respond, or reported a failure.
	struct PlatformError : ArchdykeError
	{
		using ArchdykeError::ArchdykeError;
	};

	/// A concurrent change conflicts with the attempted one.
	struct ConflictError : ArchdykeError
	{
		using ArchdykeError::ArchdykeError;
	};
} // namespace archdyke
