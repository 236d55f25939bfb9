#include "agent/answer_buffer.h"

#include "base/config.h"

namespace archdyke
{
	namespace
	{
		/// Maximum size of a frame, bytes. The entry gets the next one after it has taken this one.
		constexpr std::size_t kMaxFrameBytes = 262'144;
	} // namespace

	ResponseBuffer::ResponseBuffer(RunKey _key, std::function<bool(std::size_t)> _takeRoom)
	    : run(std::move(_key))
	    , takeRoom(std::move(_takeRoom))
	{
	}

	const RunKey& ResponseBuffer::key() const
	{
		return this->run;
	}

	void ResponseBuffer::begin(int _status, const std::string& _contentType)
	{
		absl::MutexLock lock(&this->mutex);
		this->status = _status;
		this->contentType = _contentType;
	}

	bool ResponseBuffer::append(std::string_view _bytes)
	{
		if (nullptr != this->takeRoom && !this->takeRoom(_bytes.size()))
		{
			return false;
		}
		absl::MutexLock lock(&this->mutex);
		if (kMaxBufferedResponseBytes < this->bytes.size() + _bytes.size())
		{
			return false;
		}
		this->bytes.append(_bytes);
		return true;
	}

	void ResponseBuffer::complete()
	{
		absl::MutexLock lock(&this->mutex);
		this->completed = true;
	}

	void ResponseBuffer::fail(bool _notRun, std::string _crashed)
	{
		absl::MutexLock lock(&this->mutex);
		this->failed = true;
		this->notRun = _notRun;
		this->crashed = std::move(_crashed);
	}

	bool ResponseBuffer::ended() const
	{
		absl::MutexLock lock(&this->mutex);
		return this->completed || this->failed;
	}

	std::size_t ResponseBuffer::size() const
	{
		absl::MutexLock lock(&this->mutex);
		return this->bytes.size();
	}

	ResponseFrame ResponseBuffer::frameAt(std::uint64_t _offset) const
	{
		absl::MutexLock lock(&this->mutex);
		ResponseFrame frame;
		frame.bytes = _offset < this->bytes.size() ? this->bytes.substr(_offset, kMaxFrameBytes) : "";
		frame.status = this->status;
		frame.contentType = this->contentType;
		frame.notRun = this->notRun;
		frame.crashed = this->crashed;
		const bool end = this->failed || (this->completed && this->bytes.size() <= _offset + frame.bytes.size());
		frame.head = {this->run, _offset, frame.bytes.size(), end, this->bytes.size(), this->failed};
		return frame;
	}
} // namespace archdyke
