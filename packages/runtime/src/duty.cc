#include "jasminespar/runtime/duty.h"

#include <pthread.h>

#include <exception>
#include <iostream>
#include <utility>

namespace jasminespar::runtime {

Duty::Duty(std::string name, FailureHandler on_failure)
    : name_(std::move(name)),
      on_failure_(std::move(on_failure)),
      context_(1),
      work_guard_(context_.get_executor()) {}

Duty::~Duty() { Stop(); }

void Duty::Start() {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), name_.c_str());
    Run();
  });
}

void Duty::Run() {
  while (!context_.stopped()) {
    try {
      context_.run();
    } catch (const std::exception& error) {
      on_failure_(name_, error.what());
    }
  }
}

void Duty::PrintFailure(const std::string& duty, const std::string& error) {
  std::cerr << "duty " << duty << ": " << error << std::endl;
}

void Duty::Stop() {
  context_.stop();
  if (thread_.joinable()) thread_.join();
}

}  // namespace jasminespar::runtime
