#include "agent/answer_buffer.h"

#include "base/config.h"

namespace archdyke
{
	AnswerBuffer::AnswerBuffer(RunKey _key)
	    : run(std::move(_key))
	{
	}

	const RunKey& AnswerBuffer::key() const
	{
		return this->run;
	}

	void AnswerBuffer::begin(int _status, const std::string& _contentType)
	{
		absl::MutexLock lock(&this->mutex);
		this->status = _status;
		this->contentType = _contentType;
	}

	bool AnswerBuffer::append(std::string_view _bytes)
	{
		absl::MutexLock lock(&this->mutex);
		if (kMaxAnswerBytes < this->bytes.size() + _bytes.size())
		{
			return false;
		}
		this->bytes.append(_bytes);
		return true;
	}

	void AnswerBuffer::complete()
	{
		absl::MutexLock lock(&this->mutex);
		this->whole = true;
	}

	void AnswerBuffer::fail(bool _notRun)
	{
		absl::MutexLock lock(&this->mutex);
		this->failed = true;
		this->notRun = _notRun;
	}

	bool AnswerBuffer::ended() const
	{
		absl::MutexLock lock(&this->mutex);
		return this->whole || this->failed;
	}

	std::size_t AnswerBuffer::size() const
	{
		absl::MutexLock lock(&this->mutex);
		return this->bytes.size();
	}

	AnswerFrame AnswerBuffer::frameAt(std::uint64_t _offset) const
	{
		absl::MutexLock lock(&this->mutex);
		AnswerFrame frame;
		frame.bytes = _offset < this->bytes.size() ? this->bytes.substr(_offset) : "";
		frame.status = this->status;
		frame.contentType = this->contentType;
		frame.notRun = this->notRun;
		const bool end = this->whole || this->failed;
		frame.head = {this->run, _offset, frame.bytes.size(), end, this->bytes.size(), this->failed};
		return frame;
	}
} // namespace archdyke
