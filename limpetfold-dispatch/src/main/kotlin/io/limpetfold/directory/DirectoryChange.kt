package io.limpetfold.directory

/**
 * What a list changed in an [EndpointDirectory].
 *
 * @property added endpoints that were not known before.
 * @property missing known endpoints that the list lacks, including those that stay in use for a while.
 * @property withheld listed endpoints that stay unused, because they were removed before the store was restored.
 * @property stillDraining endpoints that the list states as ready, and that were known as draining before.
 */
data class DirectoryChange(
    val added: Int,
    val missing: Int,
    val withheld: Int,
    val stillDraining: Int,
)
