# Installs the CMake package sapphirewheel with the targets sapphirewheel::state, ::coordination,
# ::protocol and ::transport.
include(CMakePackageConfigHelpers)
set(package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/sapphirewheel)
install(EXPORT sapphirewheelTargets NAMESPACE sapphirewheel:: DESTINATION ${package_dir})
configure_package_config_file(
  ${CMAKE_CURRENT_LIST_DIR}/sapphirewheelConfig.cmake.in
  ${PROJECT_BINARY_DIR}/sapphirewheelConfig.cmake INSTALL_DESTINATION ${package_dir})
write_basic_package_version_file(${PROJECT_BINARY_DIR}/sapphirewheelConfigVersion.cmake
                                 COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/sapphirewheelConfig.cmake
              ${PROJECT_BINARY_DIR}/sapphirewheelConfigVersion.cmake DESTINATION ${package_dir})
