/** Fair queueing of requests that wait for admission. */
package io.fireflyshed.coordination.queue;
