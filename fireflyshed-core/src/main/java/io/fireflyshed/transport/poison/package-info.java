/** Shares between all entries what each of them learns of requests that crash targets. */
package io.fireflyshed.transport.poison;
