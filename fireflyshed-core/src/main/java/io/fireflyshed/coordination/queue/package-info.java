/** Fair and bounded queues of requests that wait to be let in. */
package io.fireflyshed.coordination.queue;
