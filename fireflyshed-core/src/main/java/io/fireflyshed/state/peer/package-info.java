/** What entry processes tell each other. */
package io.fireflyshed.state.peer;
