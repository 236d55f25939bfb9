/// Errors that archdyke throws. Each message says what happened, to what, and what
/// to do about it.
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

	/// One thing that is wrong with a file.
	struct Problem
	{
		std::string where;  ///< Line, or path of the field.
		std::string found;  ///< What stands there.
		std::string remedy; ///< What to write instead.

		bool operator==(const Problem&) const = default;
	};

	/// A file or message that can't be taken. Lists all that is wrong with it.
	struct InvalidInputError : ArchdykeError
	{
		InvalidInputError(const std::string& _source, std::vector<Problem> _problems);

		std::vector<Problem> problems;
	};

	/// The platform didn't answer, or said that it can't.
	struct PlatformError : ArchdykeError
	{
		using ArchdykeError::ArchdykeError;
	};

	/// Somebody else changed what was to be changed.
	struct ConflictError : ArchdykeError
	{
		using ArchdykeError::ArchdykeError;
	};
} // namespace archdyke
