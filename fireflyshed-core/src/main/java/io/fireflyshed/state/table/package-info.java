/** The transactional table service of the platform. */
package io.fireflyshed.state.table;
