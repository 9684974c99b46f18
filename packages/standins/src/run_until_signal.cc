#include "jasminespar/standins/run_until_signal.h"

#include <csignal>

namespace jasminespar::standins {

void RunUntilSignal(const std::vector<runtime::Duty*>& duties) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  // The threads of the duties inherit the signal mask.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  for (runtime::Duty* duty : duties) duty->Start();
  int signal = 0;
  sigwait(&signals, &signal);
  for (runtime::Duty* duty : duties) duty->Stop();
}

}  // namespace jasminespar::standins
