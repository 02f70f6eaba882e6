// The expected text of each position is built and must be found at the head of what is left.

#include "answercheck.h"

#include <utility>

namespace loadtool {

AnswerCheck::AnswerCheck(std::string wantedAdapter, std::string wantedRequest)
    : adapter(std::move(wantedAdapter)), request(std::move(wantedRequest))
{
}

bool AnswerCheck::acceptModel(std::string_view model)
{
    if (!this->version.empty()) {
        return this->version == model;
    }
    const bool exact = this->adapter.find('@') != std::string::npos;
    const std::string_view name = exact ? model : model.substr(0, model.rfind('@'));
    if (name != this->adapter || model.find('@') == std::string_view::npos) {
        return false;
    }
    this->version = model;
    return true;
}

bool AnswerCheck::accept(std::string_view model, std::string_view text)
{
    if (!this->acceptModel(model)) {
        return false;
    }
    while (!text.empty()) {
        const std::string expected = " " + this->version + "/" + this->request + "/" + std::to_string(this->position);
        if (!text.starts_with(expected)) {
            return false;
        }
        text.remove_prefix(expected.size());
        ++this->position;
    }
    return true;
}

std::int64_t AnswerCheck::tokens() const
{
    return this->position;
}

const std::string &AnswerCheck::model() const
{
    return this->version;
}

} // namespace loadtool
