#include "jasminespar/standins/run_until_signal.h"

#include <csignal>

namespace jasminespar::standins {

void RunUntilSignal(const std::vector<runtime::Duty*>& duties) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);  // Inherited by the duties.
  for (runtime::Duty* duty : duties) duty->Start();
  int signal = 0;
  sigwait(&signals, &signal);
  for (runtime::Duty* duty : duties) duty->Stop();
}

}  // namespace jasminespar::standins
