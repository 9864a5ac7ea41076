/** The object store of the platform. */
package io.fireflyshed.state.object;
