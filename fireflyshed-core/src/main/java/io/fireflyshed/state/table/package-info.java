/** Access to the platform's transactional table service. */
package io.fireflyshed.state.table;
