/** Access to the platform's object store. */
package io.fireflyshed.state.object;
