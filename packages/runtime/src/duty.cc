#include "jasminespar/runtime/duty.h"

#include <pthread.h>

#include <utility>

namespace jasminespar::runtime {

Duty::Duty(std::string name)
    : name_(std::move(name)),
      context_(1),
      work_guard_(context_.get_executor()) {}

Duty::~Duty() { Stop(); }

void Duty::Start() {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), name_.c_str());
    context_.run();
  });
}

void Duty::Stop() {
  context_.stop();
  if (thread_.joinable()) thread_.join();
}

}  // namespace jasminespar::runtime
