/// @file
/// cereal serialization of a queue's configuration, which both messages between
/// peers and stored rows contain. Private to this package.

#ifndef JASMINESPAR_PROTOCOL_SRC_QUEUE_SERIALIZATION_H_
#define JASMINESPAR_PROTOCOL_SRC_QUEUE_SERIALIZATION_H_

#include "jasminespar/jobs/accepted_job.h"
#include "serialization.h"

namespace jasminespar::jobs {

template <typename Archive>
void serialize(Archive& archive, QueueConfiguration& queue) {
  archive(queue.name, queue.host, queue.prefix, queue.service, queue.is_public,
          queue.priority, queue.max_attempts, queue.slack_factor,
          queue.target_runtime);
}
template <typename Archive>
void serialize(Archive& archive, QueueRecord& record) {
  archive(record.revision, record.queue);
}

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_PROTOCOL_SRC_QUEUE_SERIALIZATION_H_
